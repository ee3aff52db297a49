#pragma once

/** \file
 * Defines what a gateway tells others of the prompt parts it has sent.
 */

#include "serving/news.h"

#include <deque>

namespace jujube::serving {

/** Parts that were sent to an endpoint for the first time, for the news of the next moments. */
class PartNews
{
public:
    /** Notes what an endpoint was sent. The last link belongs to one request and is not told. */
    void note(Endpoint &endpoint, const std::vector<policy::PrefixBlock> &chain,
              core::TimePoint now);
    /** What is to be told now. */
    std::vector<NewsPart> take(core::TimePoint now);

private:
    struct Item
    {
        NewsPart part;
        core::TimePoint until{};
    };
    std::deque<Item> m_items; ///< Oldest first.
};

} // namespace jujube::serving
