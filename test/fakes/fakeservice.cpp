/** \file
 * Program fake-service: fake of an application service with idempotent and non-idempotent calls.
 *
 * The response to a GET depends on the path and the body alone. Any other method also counts as an
 * effect and gets a receipt number. Every call but /healthz is recorded with its request id. The
 * only faults are those of FakeServer; with lose_answers a call takes effect and its connection is
 * closed.
 */

#include "fakes/fakeserver.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

DEFINE_string(listen, "127.0.0.1:7300", "address to serve on");
DEFINE_string(name, "service", "name in the event log");

namespace {

using namespace jujube;
using test::ExchangePtr;

class FakeService
{
public:
    FakeService()
        : m_server(FLAGS_name,
                   [this](const wire::IncomingRequest &request, const ExchangePtr &exchange) {
                       handle(request, exchange);
                   })
    {
    }

    int run() { return m_server.run(FLAGS_listen); }

private:
    void handle(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        if (request.path == "/healthz") {
            m_server.respond(exchange, 200, {});
            return;
        }
        QJsonObject details;
        details["path"] = wire::qstring(request.path);
        details["method"] = wire::qstring(request.method);
        details["request_id"] = wire::qstring(request.header("X-Request-Id"));
        details["body"] = wire::qstring(request.body);
        details["authorization"] = wire::qstring(request.header("Authorization"));
        m_server.record("service.run", details);
        QJsonObject reply;
        reply["path"] = wire::qstring(request.path);
        reply["echo"] = wire::qstring(request.body);
        if (request.method != "GET")
            reply["receipt"] = ++m_receipts;
        m_server.respond(exchange, 200, reply);
    }

    test::FakeServer m_server;
    int m_receipts = 0;
};

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    FakeService service;
    return service.run();
}
