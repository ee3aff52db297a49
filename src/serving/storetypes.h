#pragma once

/** \file
 * Defines the items and conditional changes of the store, independent of their encoding.
 */

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jujube::serving {

/** A version of the store's state, or of one item.
 *
 * A store that is restored from a backup starts a new era, in which it assigns some revisions
 * again. Any version of a later era is newer than all versions of an earlier one.
 */
struct StoreVersion
{
    uint64_t era = 0;      ///< 0: the store has stated no era.
    uint64_t revision = 0; ///< 0: the item does not exist.

    auto operator<=>(const StoreVersion &) const = default;
};

/** An item, or in a watch the event that it was removed. */
struct StoreItem
{
    std::string key;
    std::string value;
    StoreVersion version;
    bool deleted = false;
};

/** One page of a listing, the events of a watch, or the state that a peer sends. */
struct StorePage
{
    std::vector<StoreItem> items;
    StoreVersion version;      ///< Version of the store at the answer.
    bool hasMore = false;      ///< The listing has further pages.
    uint64_t baseRevision = 0; ///< Revision in this era that a delta starts from; 0: a full copy.
};

/** An item to write. */
struct StoreWrite
{
    std::string key;
    std::string value;
    uint64_t lease = 0; ///< Lease that the item expires with; 0: none.
};

/** An atomic change, applied only if each expected key has the given revision (0: is absent). */
struct StoreCommit
{
    std::vector<std::pair<std::string, uint64_t>> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> deletes;
};

} // namespace jujube::serving
