#pragma once

/** \file
 * Defines claims: records of the Idempotency-Keys that callers have used, shared by all entries.
 */

#include "state/kvclient.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jujube::state {

/** The key was unused and is now claimed for this request, which may run once. */
struct ClaimGranted
{
};

/** The request with this key has ended. Holds its recorded response. */
struct ClaimCompleted
{
    uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = true; ///< False if the body was too large to store or not valid UTF-8.
};

/** Another attempt with this key was granted and no response of it is recorded yet. */
struct ClaimInProgress
{
};

/** The key was used earlier for a different request. */
struct ClaimMismatch
{
};

using ClaimResult = std::variant<ClaimGranted, ClaimCompleted, ClaimInProgress, ClaimMismatch>;

/** Stores claims in sharded pages of the KV and writes them in batches.
 *
 * The KV accepts only a few hundred writes per second, so all claims that arrive while a page is
 * being written share the page's next write.
 */
class ClaimStore
{
public:
    /** \param retention age at which a claim is dropped from its page. */
    ClaimStore(wire::IoContext &io, KvClient &kv, std::string scope, uint32_t shardCount,
               std::chrono::minutes retention);

    /** Claims a key for a request.
     *
     * \param fingerprint hash of method, path and body; one key identifies one request only.
     * \return an error if the KV did not confirm the claim, for instance Unavailable. The claim is
     *         then released in the background and the request must not run.
     */
    wire::Task<absl::StatusOr<ClaimResult>> claim(std::string key, std::string requestId,
                                                  uint64_t fingerprint);
    /** Records the response to a claimed request. Retries in the background until written. */
    void recordResponse(const std::string &key, const std::string &requestId,
                        ClaimCompleted response);
    /** Releases the claim of a request that provably has not run. Retries in the background. */
    void release(const std::string &key, const std::string &requestId);
    /** Whether every recorded response and release has been written. */
    bool allWritten() const { return m_pendingWrites == 0; }

private:
    struct Record
    {
        std::string requestId;
        uint64_t fingerprint = 0;
        bool completed = false;
        ClaimCompleted response;
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
