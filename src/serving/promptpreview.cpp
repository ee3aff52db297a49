/** \file
 * Predicts what the scheduler would do with a prompt that arrives now.
 */

#include "serving/promptscheduler.h"

#include <algorithm>

namespace jujube::serving {

namespace {

// Updates the view of an engine by a prompt that it is sent, as Session::send() does.
void noteDispatch(policy::PlacementCandidate &view, const Endpoint &endpoint,
                  const policy::PrefillChoice &choice)
{
    view.running += 1;
    view.backlogTokens += choice.uncachedTokens;
    // A probe is a single request, and a gateway saves up one request of an endpoint's limit.
    view.usable = view.usable && !view.probe && !endpoint.limit.perSecond();
}

} // namespace

// The same steps as in dispatchOne(), with the prompt queue's own code, on copies.
PromptPreview PromptScheduler::preview(const std::string &service, policy::WaitingPrompt prompt,
                                       const std::vector<policy::PrefixLink> &chain,
                                       core::TimePoint now, std::mt19937_64 &random) const
{
    const auto &engines = m_endpoints.ofService(service);
    const auto serviceQueue = m_serviceQueues.find(service);
    policy::PromptQueue queue = serviceQueue == m_serviceQueues.end()
        ? policy::PromptQueue(m_queueSettings)
        : serviceQueue->second.queue;
    PromptPreview preview;
    preview.waiting = queue.size();
    preview.expectedWait = expectedWait(service, prompt);
    std::vector<policy::PlacementCandidate> views;
    views.reserve(engines.size());
    for (const EndpointPtr &it : engines) {
        views.push_back(placementViewOf(*it, {}, now));
        preview.hasRoom.push_back(queue.hasRoom(views.back()));
        preview.limited = preview.limited || (it->acceptsWork() && !it->limit.admits(now));
    }
    policy::applyHolds(views);
    const auto isUsable = [](const policy::PlacementCandidate &it) { return it.usable; };
    if (std::none_of(views.begin(), views.end(), isUsable)) {
        preview.noUsableEngine = !preview.limited;
        return preview;
    }
    const uint64_t id = prompt.id = m_nextId + 1;
    queue.takeExpired(now);
    queue.add(prompt);
    preview.priority = queue.priorityOf(prompt, now);
    const auto cached = [&](const policy::WaitingPrompt &it) {
        const auto &links = it.id == id ? chain : serviceQueue->second.entries.at(it.id).chain;
        std::vector<uint32_t> tokens;
        tokens.reserve(engines.size());
        for (const EndpointPtr &engine : engines)
            tokens.push_back(engine->isReachable() ? engine->prefixCache.cachedTokens(links) : 0);
        return tokens;
    };
    while (const auto dispatch = queue.takeNext(views, cached, m_placement, now, random)) {
        if (dispatch->prompt.id == id) {
            preview.choice = dispatch->choice;
            break;
        }
        noteDispatch(views[dispatch->choice.index], *engines[dispatch->choice.index],
                     dispatch->choice);
        if (std::none_of(views.begin(), views.end(), isUsable))
            break;
    }
    return preview;
}

} // namespace jujube::serving
