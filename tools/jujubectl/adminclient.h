#pragma once

/** \file
 * Defines the client of an entry's admin API.
 */

#include "wire/httpclient.h"
#include "wire/json.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>

namespace jujube::tools {

/** Text of a configuration shard and its revision. */
struct ShardContent
{
    uint64_t revision = 0;
    std::string value;
};

/** Client of one entry; each call blocks until the response arrives.
 *
 * Errors: Aborted if the shard has changed since the given revision, InvalidArgument if the entry
 * rejects the change, PermissionDenied for a wrong token, Unavailable otherwise.
 */
class AdminClient
{
public:
    AdminClient(wire::IoContext &io, kj::WaitScope &waitScope, std::string address,
                std::string token);

    /** \return all published shards by name. */
    absl::StatusOr<std::map<std::string, ShardContent>> configuration();
    /** Replaces a shard that is still at revision \a fromRevision.
     * \return the new revision.
     */
    absl::StatusOr<uint64_t> publish(const std::string &shard, uint64_t fromRevision,
                                     const std::string &value);
    absl::StatusOr<QJsonObject> status();
    /** \return the events after the hybrid time \a after. */
    absl::StatusOr<QJsonObject> timeline(uint64_t after);

private:
    absl::StatusOr<QJsonObject> sendRequest(const std::string &method, const std::string &path,
                                            const std::string &body);

    wire::HttpClient m_http;
    kj::WaitScope &m_waitScope;
    std::string m_address;
    std::string m_token;
};

} // namespace jujube::tools
