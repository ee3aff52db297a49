#pragma once

/** \file
 * Defines team keys, their salted hashes and the fleet's proof of its shared secret.
 */

#include "core/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace jujube::core {

/** A team key split into its public id and its secret: "jj_ID_SECRET". */
struct PresentedKey
{
    std::string keyId;
    std::string secret;

    static std::optional<PresentedKey> parse(std::string_view text);
};

/** A new key and the record to publish. The key is shown once and kept nowhere. */
struct GeneratedKey
{
    std::string key;
    KeyRecord record;
};

/** Draws a key from the operating system's random source. */
GeneratedKey generateKey(const std::string &team);

/** Whether the presented secret belongs to the record. Takes the same time for any secret. */
bool keyMatches(const KeyRecord &record, const PresentedKey &key);

/** Compares two secrets in a time that depends on their lengths only. */
bool equalInConstantTime(std::string_view a, std::string_view b);

/** HMAC-SHA-256 of a message under the fleet's shared secret, as raw bytes. */
std::string fleetHmac(std::string_view fleetSecret, std::string_view message);

/** Raw bytes from the operating system's random source. */
std::string randomBytes(size_t count);

/** A random identifier of 32 hexadecimal digits. */
std::string randomId();

/** A random, non-zero 64-bit number that names one run of a process. */
uint64_t randomIncarnation();

/** A stable 64-bit hash, the same in every process and version. */
uint64_t stableHash(std::string_view text);

} // namespace jujube::core
