#include "serving/partnews.h"

namespace jujube::serving {

namespace {

// A part is told in several datagrams, for some get lost.
constexpr core::Milliseconds TellFor{60};
// Bounds a datagram; at a cold start what is left out is learnt by the next request with that part.
constexpr size_t MostParts = 48;

} // namespace

void PartNews::note(Endpoint &endpoint, const std::vector<policy::PrefixBlock> &chain,
                    core::TimePoint now)
{
    for (const policy::PrefixBlock &link : endpoint.parts.record(chain)) {
        if (link.hash != chain.back().hash)
            m_items.push_back({{endpoint.hash, link}, now + TellFor});
    }
}

std::vector<NewsPart> PartNews::take(core::TimePoint now)
{
    while (!m_items.empty() && m_items.front().until < now)
        m_items.pop_front();
    std::vector<NewsPart> parts;
    for (auto it = m_items.rbegin(); it != m_items.rend() && parts.size() < MostParts; ++it)
        parts.push_back(it->part);
    return parts;
}

} // namespace jujube::serving
