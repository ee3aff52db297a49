#pragma once

/** \file
 * Defines the command that asks a running gateway for an explanation.
 */

#include "core/clock.h"
#include "serving/explainquery.h"

#include <iosfwd>
#include <string>

namespace jujube::serving {

/** Exit status of the command. */
enum class ExplainStatus {
    Explained = 0,
    BadArguments = 2, ///< Or bad settings.
    Unreachable = 3,
    Unknown = 4 ///< Route or key.
};

/** Asks the gateway at an address and writes its answer to \a output, or the cause of an error to
 * \a errors. Opens no listening port.
 * \param address IPv4 address and port of the gateway's metrics.
 * \param timeout until the gateway has answered. */
ExplainStatus runExplainCommand(const ExplainQuery &query, const std::string &address,
                                core::Milliseconds timeout, std::ostream &output,
                                std::ostream &errors);

} // namespace jujube::serving
