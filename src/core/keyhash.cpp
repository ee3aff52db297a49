#include "core/keyhash.h"
#include "core/text.h"

#include <absl/strings/escaping.h>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <QRandomGenerator>
#include <xxhash.h>

namespace jujube::core {

namespace {

constexpr std::string_view KeyPrefix = "jj_";
constexpr size_t KeyIdBytes = 6;
constexpr size_t SecretBytes = 24;
constexpr size_t SaltBytes = 16;
constexpr size_t MaxKeyLength = 256;

QByteArrayView view(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

std::string hashSecret(const std::string &saltHex, std::string_view secret)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(view(absl::HexStringToBytes(saltHex)));
    hash.addData(view(secret));
    return hash.result().toHex().toStdString();
}

} // namespace

std::optional<PresentedKey> PresentedKey::parse(std::string_view text)
{
    if (text.size() > MaxKeyLength || !text.starts_with(KeyPrefix))
        return std::nullopt;
    text.remove_prefix(KeyPrefix.size());
    const size_t separator = text.find('_');
    if (separator == std::string_view::npos)
        return std::nullopt;
    return PresentedKey{std::string(text.substr(0, separator)),
                        std::string(text.substr(separator + 1))};
}

GeneratedKey generateKey(const std::string &team)
{
    GeneratedKey generated;
    const std::string secret = absl::BytesToHexString(randomBytes(SecretBytes));
    generated.record.keyId = absl::BytesToHexString(randomBytes(KeyIdBytes));
    generated.record.team = team;
    generated.record.salt = absl::BytesToHexString(randomBytes(SaltBytes));
    generated.record.hash = hashSecret(generated.record.salt, secret);
    generated.key = concat(KeyPrefix, generated.record.keyId, "_", secret);
    return generated;
}

bool keyMatches(const KeyRecord &record, const PresentedKey &key)
{
    return equalInConstantTime(hashSecret(record.salt, key.secret), record.hash);
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

std::string fleetHmac(std::string_view fleetSecret, std::string_view message)
{
    QMessageAuthenticationCode mac(QCryptographicHash::Sha256, view(fleetSecret).toByteArray());
    mac.addData(message.data(), static_cast<qsizetype>(message.size()));
    return mac.result().toStdString();
}

std::string randomBytes(size_t count)
{
    std::string bytes(count, '\0');
    for (char &c : bytes)
        c = static_cast<char>(QRandomGenerator::system()->bounded(256));
    return bytes;
}

std::string randomId()
{
    return absl::BytesToHexString(randomBytes(16));
}

uint64_t randomIncarnation()
{
    return QRandomGenerator::system()->generate64() | 1U;
}

uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace jujube::core
