#pragma once

/** \file
 * Defines the store's items and conditional changes, apart from the format they are sent in.
 */

#include <cstdint>
#include <string>
#include <vector>

namespace jujube::serving {

/** An item, or in a watch the news that it was removed. */
struct StoreItem
{
    std::string key;
    std::string value;
    uint64_t revision = 0; ///< 0: does not exist.
    bool deleted = false;
};

/** A part of a listing, or the events of a watch. */
struct StorePage
{
    std::vector<StoreItem> items;
    uint64_t revision = 0; ///< Of the store when it answered.
    bool more = false;
    uint64_t base =
        0; ///< Of a peer's answer: only what changed after this revision; 0: everything.
};

struct StoreWrite
{
    std::string key;
    std::string value;
    uint64_t lease = 0; ///< 0: lasts.
};

/** Keys and the revisions that they must have (0: must not exist), and what is written then. */
struct StoreCommit
{
    std::vector<std::pair<std::string, uint64_t>> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> deletes;
};

} // namespace jujube::serving
