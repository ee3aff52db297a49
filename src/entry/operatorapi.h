#pragma once

/** \file
 * Defines the operators' HTTP interface of an entry.
 */

#include "entry/entryview.h"
#include "wire/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace jujube::entry {

/** Result of an operator's call that runs on the KJ thread. */
struct OperatorReply
{
    int status = 200;
    std::string body; ///< JSON.
};

using OperatorCallback = std::function<void(OperatorReply)>;

/** What the operators' interface needs from the KJ thread. */
struct OperatorActions
{
    /** Writes a shard if its revision is still the one the change was made from. */
    std::function<void(std::string shard, uint64_t fromRevision, std::string value,
                       OperatorCallback)>
        publish;
    /** Collects the events of all processes after a hybrid time. */
    std::function<void(uint64_t after, OperatorCallback)> timeline;
};

/** Serves /admin paths to callers that hold the operator token. */
class OperatorApi
{
public:
    OperatorApi(EntryView &view, std::string token, OperatorActions actions);

    /** Serves the request. \return false if the path is not one of the operators'. */
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
