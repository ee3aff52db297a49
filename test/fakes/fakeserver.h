#pragma once

/** \file
 * Defines the base of the fake servers: an HTTP server, a history and fault injection.
 */

#include "wire/httpserver.h"
#include "wire/json.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujube::test {

using ExchangePtr = std::shared_ptr<wire::Exchange>;

/** HTTP server of one fake service, on a single thread.
 *
 * Every fake serves GET /history (JSON lines) and POST /faults (a JSON object whose members stay in
 * force until they are set again). Faults common to all fakes:
 * - delay_ms: every response is delayed by this many milliseconds.
 * - outage: the connection is closed on each request, which has no effect.
 * - lose_answers: requests take effect, but the connection is closed instead of a response.
 * - silence: requests take effect, but their connections stay open and never get a response.
 */
class FakeServer
{
public:
    using Handler = std::function<void(const wire::IncomingRequest &, const ExchangePtr &)>;

    FakeServer(std::string name, Handler handler);

    /** Serves until SIGTERM. \return the exit code of the process. */
    int run(const std::string &address);

    /** Serves on a free loopback port in the background. \return the address. */
    std::string start();
    /** Number of records of one kind in the history. */
    size_t countOf(const std::string &kind) const;

    /** Adds a record to the history, with the members "at_us" (see nowUs()) and "kind" set. */
    void record(const std::string &kind, QJsonObject details);
    /** Value of a fault, or \a fallback if it is not set. */
    double fault(const char *name, double fallback = 0) const;
    void setFault(const char *name, double value);
    /** Sets a callback that runs on the server's thread after each POST /faults. */
    void onFaults(std::function<void(const QJsonObject &)> callback);

    /** Sends a response, subject to the faults delay_ms, lose_answers and silence. */
    void respond(const ExchangePtr &exchange, int status, const QJsonObject &body);

private:
    void dispatch(const wire::IncomingRequest &request, const ExchangePtr &exchange);

    std::string m_name;
    Handler m_handler;
    std::function<void(const QJsonObject &)> m_onFaults;
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_faults;
    std::string m_history;
    std::vector<ExchangePtr> m_unansweredExchanges;
    std::map<std::string, size_t> m_recordCounts;
    std::unique_ptr<wire::HttpServer> m_backgroundServer;
};

/** Wall-clock time in microseconds since the Unix epoch. */
int64_t nowUs();

} // namespace jujube::test
