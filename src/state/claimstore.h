#pragma once

/** \file
 * Defines claims: the record that a caller's Idempotency-Key is taken, shared by all entries.
 */

#include "state/kvclient.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jujube::state {

/** The claim is new: the request may run now, once. */
struct ClaimGranted
{
};

/** The request ended earlier; this is its answer. */
struct ClaimCompleted
{
    uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = true; ///< False if the answer was too large to be kept.
};

/** Another attempt with this key was let through and its end is not recorded. */
struct ClaimInProgress
{
};

/** The key was used before for a different request. */
struct ClaimMismatch
{
};

using ClaimResult = std::variant<ClaimGranted, ClaimCompleted, ClaimInProgress, ClaimMismatch>;

/** Keeps claims in sharded pages of the KV and writes them in groups.
 *
 * The KV takes a few hundred writes a second, so claims that arrive while a page is being written
 * go together into its next write.
 */
class ClaimStore
{
public:
    ClaimStore(wire::IoContext &io, KvClient &kv, std::string scope, uint32_t shardCount,
               std::chrono::minutes retention);

    /** Claims a key for a request.
     *
     * \param fingerprint hash of method, path and body; a key stands for one request only.
     * \return Unavailable if the KV did not confirm; the claim is then withdrawn in the background
     *         and the request must not run.
     */
    wire::Task<absl::StatusOr<ClaimResult>> claim(std::string key, std::string requestId,
                                                  uint64_t fingerprint);
    /** Records the answer of a claimed request. Retries in the background until it is written. */
    void recordResponse(const std::string &key, const std::string &requestId,
                        ClaimCompleted answer);
    /** Gives a claim back, after the request was proved not to have run. */
    void release(const std::string &key, const std::string &requestId);
    /** Whether every settlement and release has been written. */
    bool allWritten() const { return m_pendingWrites == 0; }

private:
    struct Record
    {
        std::string requestId;
        uint64_t fingerprint = 0;
        bool answered = false;
        ClaimCompleted answer;
        int64_t atMs = 0;
    };
    struct Operation
    {
        enum class Kind { Claim, RecordResponse, Release };
        Kind kind = Kind::Claim;
        std::string key;
        Record record;
        ClaimResult result = ClaimGranted{};
        kj::Own<kj::PromiseFulfiller<absl::Status>> done;
    };
    struct Shard
    {
        std::vector<std::shared_ptr<Operation>> waiting;
        bool writing = false;
    };
    using Page = std::map<std::string, Record>;

    kj::Promise<absl::Status> enqueue(std::shared_ptr<Operation> operation);
    wire::Task<void> writeShard(uint32_t index);
    wire::Task<absl::Status> writeBatch(uint32_t index,
                                        std::vector<std::shared_ptr<Operation>> batch);
    wire::Task<void> writeWithRetries(std::shared_ptr<Operation> operation);
    static void applyTo(Page &page, Operation &operation);
    static std::string serialize(const Page &page);
    absl::StatusOr<Page> parse(const std::string &text) const;

    wire::IoContext &m_io;
    KvClient &m_kv;
    std::string m_scope;
    std::chrono::minutes m_retention;
    std::vector<Shard> m_shards;
    size_t m_pendingWrites = 0;
};

} // namespace jujube::state
