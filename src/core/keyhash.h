#pragma once

/** \file
 * Defines team keys, their salted hashes, the HMAC that proves knowledge of the fleet's shared
 * secret, random identifiers and a stable hash.
 */

#include "core/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace jujube::core {

/** A team key as presented by a caller, split into its public id and secret: "jj_ID_SECRET". */
struct PresentedKey
{
    std::string keyId;
    std::string secret;

    /** Parses a key; nullopt if the text does not have the form of one. */
    static std::optional<PresentedKey> parse(std::string_view text);
};

/** A new key and its record to publish. The key is shown once and never stored. */
struct GeneratedKey
{
    std::string key;
    KeyRecord record;
};

/** Generates a key from the operating system's random source. */
GeneratedKey generateKey(const std::string &team);

/** Whether the presented secret matches the record. Compares the hashes in constant time. */
bool keyMatches(const KeyRecord &record, const PresentedKey &key);

/** Compares two secrets in a time that depends only on their lengths. */
bool equalInConstantTime(std::string_view a, std::string_view b);

/** HMAC-SHA-256 of a message under the fleet's shared secret, as raw bytes. */
std::string fleetHmac(std::string_view fleetSecret, std::string_view message);

/** Raw bytes from the operating system's random source. */
std::string randomBytes(size_t count);

/** A random identifier of 32 hexadecimal digits. */
std::string randomId();

/** A random, non-zero 64-bit number that identifies one run of a process. */
uint64_t randomIncarnation();

/** A 64-bit hash that is the same in every process and version. */
uint64_t stableHash(std::string_view text);

} // namespace jujube::core
