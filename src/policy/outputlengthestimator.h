#pragma once

/** \file
 * Defines the estimator of the number of output tokens of a request.
 */

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace jujube::policy {

/** Estimate of the output of a request, in tokens. */
struct OutputLength
{
    double expected = 0;
    double high = 0; ///< Exceeded by about one request in ten.
};

/** What is known of the output of a request before it runs. */
struct OutputRequest
{
    std::string_view service;
    std::string_view route;
    std::string_view team;        ///< Empty: none.
    std::optional<uint32_t> hint; ///< Tokens, as estimated by the client.
    uint32_t maxOutputTokens = 0; ///< 0: not stated.
};

/** Learns the output of requests by route and team, and the error of clients' estimates by route.
 *
 * All figures are logarithms of tokens with a mean and a variance. The output that is usual for the
 * route and team and the corrected estimate of the client are combined by the inverse of their
 * variances.
 */
class OutputLengthEstimator
{
public:
    /** Records the output of a stream that ended whole. */
    void note(const OutputRequest &request, double outputTokens);
    OutputLength estimate(const OutputRequest &request) const;
    size_t keyCount() const { return m_entries.size(); }

private:
    /** Weighted mean and variance of a logarithm. */
    struct Distribution
    {
        double weight = 0;
        double mean = 0;
        double variance = 0;

        void note(double value);
    };
    struct Entry
    {
        uint64_t key = 0;
        Distribution value;
    };
    using Entries = std::list<Entry>;

    void noteAt(uint64_t key, double value);
    const Distribution *find(uint64_t key) const;

    Entries m_entries; ///< Most recently noted first.
    std::unordered_map<uint64_t, Entries::iterator> m_byKey;
};

} // namespace jujube::policy
