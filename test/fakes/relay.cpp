/** \file
 * Program relay: forwards TCP connections and simulates network faults.
 *
 * On SIGUSR1 the connections that are open at that time stop forwarding for good: both ends stay
 * connected, and new connections work. SIGUSR2 starts or ends a partition, during which no
 * connection forwards any byte.
 */

#include "core/text.h"
#include "wire/processmain.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QHostAddress>
#include <QPointer>
#include <QSocketNotifier>
#include <QTcpServer>
#include <QTcpSocket>

#include <csignal>
#include <iostream>
#include <memory>
#include <set>
#include <sys/signalfd.h>
#include <unistd.h>
#include <vector>

DEFINE_string(pairs, "", "comma-separated pairs LISTEN_PORT=TARGET_PORT on the loopback address");

namespace {

// One forwarded connection: a socket to the client and one to the target.
struct Link
{
    QPointer<QTcpSocket> clientSocket;
    QPointer<QTcpSocket> targetSocket;
    bool silent = false;
};

class Relay
{
public:
    bool listen(quint16 port, quint16 target)
    {
        auto server = std::make_unique<QTcpServer>();
        QTcpServer *it = server.get();
        QObject::connect(it, &QTcpServer::newConnection, it, [this, it, target]() {
            while (QTcpSocket *socket = it->nextPendingConnection())
                open(socket, target);
        });
        m_servers.push_back(std::move(server));
        return it->listen(QHostAddress::LocalHost, port);
    }

    void silenceOpen()
    {
        for (const auto &link : m_links)
            link->silent = true;
    }

    void togglePartition()
    {
        m_partitioned = !m_partitioned;
        if (m_partitioned)
            return;
        for (const auto &link : m_links) {
            forward(*link, link->clientSocket, link->targetSocket);
            forward(*link, link->targetSocket, link->clientSocket);
        }
    }

private:
    void open(QTcpSocket *clientSocket, quint16 target)
    {
        auto link = std::make_shared<Link>();
        link->clientSocket = clientSocket;
        link->targetSocket = new QTcpSocket(clientSocket);
        m_links.insert(link);
        for (QTcpSocket *it : {link->clientSocket.data(), link->targetSocket.data()}) {
            it->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            QObject::connect(it, &QTcpSocket::readyRead, it, [this, link, it]() {
                forward(*link, it,
                        it == link->clientSocket ? link->targetSocket : link->clientSocket);
            });
            QObject::connect(it, &QTcpSocket::disconnected, it, [this, link]() { close(link); });
            QObject::connect(it, &QTcpSocket::errorOccurred, it, [this, link]() { close(link); });
        }
        link->targetSocket->connectToHost(QHostAddress::LocalHost, target);
    }

    void forward(const Link &link, QTcpSocket *from, QTcpSocket *to)
    {
        if (link.silent || m_partitioned || !from || !to)
            return;
        // Qt buffers bytes that are written before the connection to the target is established.
        to->write(from->readAll());
    }

    void close(const std::shared_ptr<Link> &link)
    {
        if (link->silent || m_links.erase(link) == 0)
            return;
        for (QTcpSocket *it : {link->targetSocket.data(), link->clientSocket.data()}) {
            if (it)
                it->disconnectFromHost();
        }
        if (link->clientSocket)
            link->clientSocket->deleteLater();
    }

    std::vector<std::unique_ptr<QTcpServer>> m_servers;
    std::set<std::shared_ptr<Link>> m_links;
    bool m_partitioned = false;
};

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGUSR1);
    sigaddset(&mask, SIGUSR2);
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);
    const int fd = signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
    QCoreApplication app(argc, argv);
    Relay relay;
    for (const absl::string_view pair : absl::StrSplit(FLAGS_pairs, ',', absl::SkipEmpty())) {
        const std::vector<std::string> ports = absl::StrSplit(pair, '=');
        const auto port = static_cast<quint16>(std::stoul(ports.at(0)));
        if (!relay.listen(port, static_cast<quint16>(std::stoul(ports.at(1))))) {
            std::cerr << "relay: cannot listen on port " << port << "\n";
            return jujube::wire::ExitFailure;
        }
    }
    QSocketNotifier signals(fd, QSocketNotifier::Read);
    QObject::connect(&signals, &QSocketNotifier::activated, &signals, [&relay, fd]() {
        signalfd_siginfo info{};
        while (read(fd, &info, sizeof(info)) == sizeof(info)) {
            if (info.ssi_signo == SIGUSR1)
                relay.silenceOpen();
            else
                relay.togglePartition();
        }
    });
    return QCoreApplication::exec();
}
