#pragma once

/** \file
 * Defines the client of an entry's operators' interface.
 */

#include "wire/httpclient.h"
#include "wire/json.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>

namespace jujube::tools {

/** A configuration shard as an operator sees it. */
struct ShardText
{
    uint64_t revision = 0;
    std::string value;
};

/** Calls one entry and waits for each answer.
 *
 * Errors: Aborted when another operator was faster, InvalidArgument when the entry rejects the
 * change, PermissionDenied for a wrong token, Unavailable otherwise.
 */
class AdminClient
{
public:
    AdminClient(wire::IoContext &io, kj::WaitScope &waitScope, std::string address,
                std::string token);

    absl::StatusOr<std::map<std::string, ShardText>> configuration();
    /** \return the new revision. */
    absl::StatusOr<uint64_t> publish(const std::string &shard, uint64_t fromRevision,
                                     const std::string &value);
    absl::StatusOr<QJsonObject> status();
    absl::StatusOr<QJsonObject> timeline(uint64_t after);

private:
    absl::StatusOr<QJsonObject> call(const std::string &method, const std::string &path,
                                     const std::string &body);

    wire::HttpClient m_http;
    kj::WaitScope &m_waitScope;
    std::string m_address;
    std::string m_token;
};

} // namespace jujube::tools
