#pragma once

/** \file
 * Defines how gateways learn each other's load without a message from each to each.
 */

#include "serving/news.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

/** A peer as the choice of a hub sees it. */
struct HubCandidate
{
    std::string name;
    double processorShare = 0;
    bool alive = false;
};

/** Decides who is the hub of a large deployment.
 *
 * Every gateway ranks the live ones by what they are equipped with. A hub that does not answer is
 * passed over for a while; as every gateway notices that by itself, no agreement is needed, and two
 * hubs at once do no harm but cost messages.
 */
class HubChoice
{
public:
    /** \return the hub's name; empty if no candidate is alive. */
    std::string choose(const std::vector<HubCandidate> &candidates, core::TimePoint now);
    /** The hub gave a sign of life. */
    void noteAnswer(const std::string &hub, core::TimePoint now);

private:
    std::string m_hub;
    core::TimePoint m_heardAt{};
    std::map<std::string, core::TimePoint> m_avoidUntil;
};

/** The hub's books: the load of each gateway, and the sum of all others for each of them. */
class LoadBooks
{
public:
    void note(const News &news, core::TimePoint now);
    /** Forgets gateways that have been silent. */
    void prune(core::TimePoint now);
    /** Load of all gateways but one. */
    std::vector<NewsShare> othersOf(const std::string &name) const;
    double promptTokensOfOthers(const std::string &name) const;

private:
    struct Account
    {
        News news;
        core::TimePoint at{};
    };

    void add(const News &news, int sign);

    std::map<std::string, Account> m_accounts;
    struct Sum
    {
        int64_t running = 0;
        int64_t backlogTokens = 0;
        int32_t changing = 0;
    };
    std::unordered_map<uint64_t, Sum> m_sums;
    double m_promptTokens = 0;
};

} // namespace jujube::serving
