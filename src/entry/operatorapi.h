#pragma once

/** \file
 * Defines the HTTP interface of an entry for operators.
 */

#include "entry/entryview.h"
#include "wire/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace jujube::entry {

/** Reply to an operator's call that ran on the KJ thread. */
struct OperatorReply
{
    int status = 200;
    std::string body; ///< JSON.
};

using OperatorCallback = std::function<void(OperatorReply)>;

/** Operations of the KJ thread that the operators' interface calls. */
struct OperatorActions
{
    /** Writes a configuration shard if its revision is still \a fromRevision. */
    std::function<void(std::string shard, uint64_t fromRevision, std::string value,
                       OperatorCallback)>
        publish;
    /** Collects the events of all processes after the hybrid time \a after. */
    std::function<void(uint64_t after, OperatorCallback)> timeline;
};

/** Serves /admin paths to clients that hold the operator token. */
class OperatorApi
{
public:
    OperatorApi(EntryView &view, std::string token, OperatorActions actions);

    /** Serves the request. \return false if the path does not start with /admin/. */
    bool handle(const wire::IncomingRequest &request,
                const std::shared_ptr<wire::Exchange> &exchange) const;

private:
    bool authorized(const wire::IncomingRequest &request) const;
    void showConfiguration(const std::shared_ptr<wire::Exchange> &exchange) const;
    void publish(const wire::IncomingRequest &request,
                 const std::shared_ptr<wire::Exchange> &exchange) const;

    EntryView &m_view;
    std::string m_token;
    OperatorActions m_actions;
};

} // namespace jujube::entry
