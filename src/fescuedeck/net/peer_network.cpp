#include "fescuedeck/net/peer_network.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/net/tcp_socket.h"
#include "fescuedeck/peer/peer_handshake.h"
#include "fescuedeck/peer/peer_send_queue.h"

namespace fescuedeck::detail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using websocket_server = websocketpp::server<websocketpp::config::asio>;
using websocket_client = websocketpp::client<websocketpp::config::asio_client>;

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr duration acceptPause = std::chrono::milliseconds(100);
// A replaced connection is still read for this long, for messages that are on their way.
constexpr duration replacedLinger = std::chrono::seconds(1);
// Time between attempts to connect to an address that turned out to be this router's own.
constexpr duration ownAddressPause = std::chrono::seconds(60);
constexpr long closeTimeoutMillis = 500;
constexpr int nonceBytes = 16;
// Bytes handed to a connection ahead of the socket; the rest waits in its bounded queue.
constexpr std::size_t maxBufferedBytes = 64 * 1024;

template <class Endpoint>
void silenceLog(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

} // namespace

// One connection. The handshake is used on the connection's own strand, the members below it on the
// strand of the network.
struct peer_link
{
    peer_link(handshake_role linkRole, peer_hello own, const std::string &secret,
              std::string dialed, std::size_t maxQueueBytes)
        : role(linkRole)
        , target(std::move(dialed))
        , handshake(linkRole, std::move(own), secret)
        , queue(maxQueueBytes)
    {
    }

    // Thread-safe calls to the connection; without effect once it has ended.
    std::function<void(const std::string &)> send;
    std::function<void()> ping;
    std::function<void()> close;
    std::function<std::size_t()> bufferedBytes;
    std::function<void(std::size_t)> setMaxFrame; // on the connection's strand

    const handshake_role role;
    const std::string target; // dialled address; empty if accepted
    std::atomic<time_point> lastReceived{ time_point() };
    std::atomic<bool> isRefused{ false };
    std::atomic<bool> isSelf{ false };

    peer_handshake handshake;

    peer_hello remote; // set once authenticated
    peer_send_queue queue;
    time_point lastPing{};
    time_point lastDigest{}; // sent on this connection
    bool isUp = false;
    std::optional<time_point> closeAt; // set when another connection has replaced this one
};

using link_ptr = std::shared_ptr<peer_link>;

struct dial_target
{
    backoff delays;
    time_point nextAttempt{};
    link_ptr link;      // connecting or connected
    std::string router; // id last seen at this address
};

class peer_network_core : public std::enable_shared_from_this<peer_network_core>
{
public:
    peer_network_core(asio::io_context &ioContext, peer_network_settings settings,
                      peer_network_hooks hooks, random_fn random);

    std::error_code start(const std::string &address);
    std::uint16_t port() const { return m_port; }
    void stop();
    void setPeers(const std::vector<std::string> &addresses);
    void send(const std::vector<std::string> &routers, const peer_message &message);
    void broadcast(const peer_message &message);
    void digestChanged();
    std::vector<std::string> peers() const;
    int openConnections() const { return m_openLinks; }

private:
    template <class Function>
    void post(Function function);

    // On the strand of the network.
    void acceptNext();
    void onAccept(const websocket_server::connection_ptr &connection, const error_code &error);
    void scheduleTick();
    void tick();
    void checkLinks(time_point now);
    void dialDue(time_point now);
    void dial(const std::string &address, dial_target &target);
    void sendDigestIfDue(time_point now);
    void onLinkOpen(const link_ptr &link);
    void onLinkUp(const link_ptr &link, const peer_hello &remote);
    void onLinkMessage(const link_ptr &link, const peer_message &message);
    void onLinkClosed(const link_ptr &link);
    void use(const link_ptr &link);
    void replace(const link_ptr &old, const link_ptr &link);
    bool isPreferred(const peer_link &link, const peer_link &old) const;
    const std::string &initiatorOf(const peer_link &link) const;
    void dropLink(link_ptr link); // by value: the caller's may be an element that is erased
    void peerIsDown(const link_ptr &link);
    void enqueue(const link_ptr &link, const std::string &frame, bool isDigest);
    void flush(const link_ptr &link);
    void refuse(const failure &reason);
    void rememberPeers();

    // On the strand of a connection.
    template <class Connection>
    link_ptr attach(const std::shared_ptr<Connection> &connection, handshake_role role,
                    const std::string &target);
    void onFrame(const link_ptr &link, const std::string &frame, bool isBinary);
    void onHandshake(const link_ptr &link, const peer_message &message);
    void refuseLink(const link_ptr &link, const failure &reason);

    const peer_network_settings m_settings;
    const peer_network_hooks m_hooks;
    random_fn m_random;
    asio::strand<asio::io_context::executor_type> m_strand;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_tick;
    time_point m_lastTick{};
    bool m_defersSilence = false; // until the next tick
    asio::steady_timer m_acceptPause;
    websocket_server m_server;
    websocket_client m_client;
    std::uint16_t m_port = 0;

    bool m_isStopped = false;
    std::set<link_ptr> m_links;                // open
    std::map<std::string, link_ptr> m_inUse;   // by router id
    std::map<std::string, dial_target> m_dial; // by address
    bool m_hasNews = false;
    time_point m_lastDigest{};
    std::atomic<int> m_openLinks{ 0 };
    std::atomic<int> m_accepted{ 0 };

    mutable std::mutex m_mutex; // leaf lock
    std::vector<std::string> m_peers;
};

peer_network_core::peer_network_core(asio::io_context &ioContext, peer_network_settings settings,
                                     peer_network_hooks hooks, random_fn random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_strand(asio::make_strand(ioContext))
    , m_acceptor(ioContext)
    , m_tick(ioContext)
    , m_acceptPause(ioContext)
{
    silenceLog(m_server);
    silenceLog(m_client);
    websocketpp::lib::error_code ignored; // fails only when called twice
    m_server.init_asio(&ioContext, ignored);
    m_client.init_asio(&ioContext, ignored);
}

template <class Function>
void peer_network_core::post(Function function)
{
    asio::post(m_strand, [self = shared_from_this(), function = std::move(function)] {
        if (!self->m_isStopped)
            function(*self);
    });
}

std::error_code peer_network_core::start(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return endpoint.error().code;
    error_code error;
    m_acceptor.open(endpoint.value().protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint.value(), error);
    if (!error)
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return error;
    m_port = m_acceptor.local_endpoint(error).port();
    post([](peer_network_core &self) {
        self.acceptNext();
        self.tick();
    });
    return error;
}

void peer_network_core::stop()
{
    post([](peer_network_core &self) {
        self.m_isStopped = true;
        error_code ignored;
        self.m_acceptor.close(ignored);
        self.m_acceptPause.cancel(ignored);
        self.m_tick.cancel(ignored);
        for (const link_ptr &link : self.m_links)
            link->close();
        for (const auto &[address, target] : self.m_dial) {
            if (target.link)
                target.link->close();
        }
        self.m_inUse.clear();
        self.rememberPeers();
    });
}

void peer_network_core::setPeers(const std::vector<std::string> &addresses)
{
    post([addresses](peer_network_core &self) {
        const std::set<std::string> wanted(addresses.begin(), addresses.end());
        for (auto entry = self.m_dial.begin(); entry != self.m_dial.end();)
            entry = wanted.count(entry->first) > 0 ? std::next(entry) : self.m_dial.erase(entry);
        for (const std::string &address : wanted) {
            const backoff delays(self.m_settings.reconnect, self.m_random);
            self.m_dial.try_emplace(address, dial_target{ delays, {}, nullptr, "" });
        }
        self.dialDue(steadyNow());
    });
}

void peer_network_core::send(const std::vector<std::string> &routers, const peer_message &message)
{
    post([routers, frame = toCbor(message)](peer_network_core &self) {
        for (const std::string &router : routers) {
            const auto found = self.m_inUse.find(router);
            const link_ptr link = found == self.m_inUse.end() ? nullptr : found->second;
            if (link)
                self.enqueue(link, frame, false);
        }
    });
}

void peer_network_core::broadcast(const peer_message &message)
{
    post([frame = toCbor(message)](peer_network_core &self) {
        const auto inUse = self.m_inUse; // enqueue() may drop a link
        for (const auto &[router, link] : inUse)
            self.enqueue(link, frame, false);
    });
}

void peer_network_core::digestChanged()
{
    post([](peer_network_core &self) {
        self.m_hasNews = true;
        self.sendDigestIfDue(steadyNow());
    });
}

std::vector<std::string> peer_network_core::peers() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers;
}

void peer_network_core::rememberPeers()
{
    const std::lock_guard lock(m_mutex);
    m_peers.clear();
    for (const auto &[router, link] : m_inUse)
        m_peers.push_back(router);
}

// The acceptor of websocketpp is not used, because closing it is a race with its own accept loop.
void peer_network_core::acceptNext()
{
    const websocket_server::connection_ptr connection = m_server.get_connection();
    if (!connection)
        return;
    m_acceptor.async_accept(connection->get_raw_socket(),
                            asio::bind_executor(m_strand, [self = shared_from_this(),
                                                           connection](const error_code &error) {
                                self->onAccept(connection, error);
                            }));
}

void peer_network_core::onAccept(const websocket_server::connection_ptr &connection,
                                 const error_code &error)
{
    const bool isRefused = error || m_isStopped || m_accepted >= m_settings.maxAccepted;
    if (isRefused) {
        connection->terminate(websocketpp::lib::error_code());
    } else {
        ++m_accepted;
        attach(connection, handshake_role::Acceptor, "");
        connection->start();
    }
    if (m_isStopped)
        return;
    if (!error) {
        acceptNext();
        return;
    }
    m_acceptPause.expires_after(acceptPause);
    m_acceptPause.async_wait(
            asio::bind_executor(m_strand, [self = shared_from_this()](const error_code &) {
                if (!self->m_isStopped)
                    self->acceptNext();
            }));
}

void peer_network_core::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait(
            asio::bind_executor(m_strand, [self = shared_from_this()](const error_code &) {
                if (!self->m_isStopped)
                    self->tick();
            }));
}

void peer_network_core::tick()
{
    const time_point now = steadyNow();
    // After a busy time, input that has arrived may not have been read. The next tick judges it,
    // late or not.
    const bool isLate = m_lastTick != time_point{} && now - m_lastTick > 2 * tickInterval;
    m_defersSilence = isLate && !m_defersSilence;
    m_lastTick = now;
    checkLinks(now);
    dialDue(now);
    sendDigestIfDue(now);
    scheduleTick();
}

void peer_network_core::checkLinks(time_point now)
{
    const auto links = m_links; // dropLink() changes the set
    for (const link_ptr &link : links) {
        const bool isSilent
                = !m_defersSilence && now - link->lastReceived.load() > m_settings.silenceLimit;
        if (isSilent || (link->closeAt && *link->closeAt <= now)) {
            dropLink(link);
            continue;
        }
        if (link->isUp && now - link->lastPing >= m_settings.pingInterval) {
            link->lastPing = now;
            link->ping();
        }
        flush(link);
    }
}

void peer_network_core::dialDue(time_point now)
{
    for (auto &[address, target] : m_dial) {
        const bool isUp = m_inUse.count(target.router) > 0;
        if (!target.link && !isUp && target.nextAttempt <= now)
            dial(address, target);
    }
}

void peer_network_core::dial(const std::string &address, dial_target &target)
{
    target.nextAttempt = steadyNow() + target.delays.next();
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        refuse(endpoint.error());
        target.nextAttempt = steadyNow() + ownAddressPause;
        return;
    }
    websocketpp::lib::error_code error;
    const auto connection = m_client.get_connection("ws://" + address + "/peer", error);
    if (error) {
        refuse(makeFailure(errc::ConnectionFailed, address + ": " + error.message()));
        return;
    }
    target.link = attach(connection, handshake_role::Initiator, address);
    m_client.connect(connection);
}

void peer_network_core::sendDigestIfDue(time_point now)
{
    if (!m_hooks.currentDigest || m_inUse.empty())
        return;
    const bool hasNews = m_hasNews && now - m_lastDigest >= m_settings.digestGap;
    std::map<std::string, std::string> frames; // by cell
    const auto inUse = m_inUse;                // enqueue() may drop a link
    for (const auto &[router, link] : inUse) {
        const std::string &cell = link->remote.cell;
        const duration interval = cell == m_settings.identity.cell
                                          ? m_settings.digestInterval
                                          : m_settings.otherCellDigestInterval;
        if (!hasNews && now - link->lastDigest < interval)
            continue;
        std::string &frame = frames[cell];
        if (frame.empty())
            frame = toCbor(m_hooks.currentDigest(cell));
        link->lastDigest = now;
        m_lastDigest = now;
        enqueue(link, frame, true);
    }
    m_hasNews = m_hasNews && !hasNews;
}

void peer_network_core::onLinkOpen(const link_ptr &link)
{
    m_links.insert(link);
    m_openLinks = static_cast<int>(m_links.size());
}

void peer_network_core::onLinkUp(const link_ptr &link, const peer_hello &remote)
{
    if (m_links.count(link) == 0)
        return;
    link->remote = remote;
    link->isUp = true;
    const auto target = m_dial.find(link->target);
    if (target != m_dial.end()) {
        target->second.router = remote.router;
        target->second.delays.reset();
    }
    const auto found = m_inUse.find(remote.router);
    const link_ptr old = found == m_inUse.end() ? nullptr : found->second;
    if (old)
        replace(old, link);
    else
        use(link);
}

void peer_network_core::use(const link_ptr &link)
{
    m_inUse[link->remote.router] = link;
    rememberPeers();
    if (m_hooks.onPeerUp)
        m_hooks.onPeerUp(link->remote);
    if (!m_hooks.currentDigest)
        return;
    link->lastDigest = steadyNow();
    enqueue(link, toCbor(m_hooks.currentDigest(link->remote.cell)), true);
}

void peer_network_core::replace(const link_ptr &old, const link_ptr &link)
{
    if (old->remote.incarnation != link->remote.incarnation) {
        dropLink(old);
        use(link);
        return;
    }
    const time_point closeAt = steadyNow() + replacedLinger;
    if (!isPreferred(*link, *old)) {
        link->closeAt = closeAt;
        return;
    }
    old->closeAt = closeAt;
    m_inUse[link->remote.router] = link;
    while (const auto frame = old->queue.pop())
        link->queue.push(*frame, false);
    flush(link);
}

// Both ends decide alike, because they see the same initiators. Of two connections with the same
// initiator the later one is preferred, since the initiator has given up the earlier one.
bool peer_network_core::isPreferred(const peer_link &link, const peer_link &old) const
{
    return link.role == old.role || initiatorOf(link) < initiatorOf(old);
}

const std::string &peer_network_core::initiatorOf(const peer_link &link) const
{
    const bool isOwn = link.role == handshake_role::Initiator;
    return isOwn ? m_settings.identity.router : link.remote.router;
}

void peer_network_core::onLinkMessage(const link_ptr &link, const peer_message &message)
{
    if (m_links.count(link) > 0 && m_hooks.onMessage)
        m_hooks.onMessage(link->remote, message);
}

void peer_network_core::onLinkClosed(const link_ptr &link)
{
    if (link->role == handshake_role::Acceptor)
        --m_accepted;
    const auto target = m_dial.find(link->target);
    if (target != m_dial.end() && target->second.link == link) {
        target->second.link = nullptr;
        const duration delay = link->isSelf ? ownAddressPause : target->second.delays.next();
        target->second.nextAttempt = steadyNow() + delay;
    }
    dropLink(link);
}

void peer_network_core::dropLink(link_ptr link)
{
    if (m_links.erase(link) == 0)
        return;
    m_openLinks = static_cast<int>(m_links.size());
    link->close();
    peerIsDown(link);
}

void peer_network_core::peerIsDown(const link_ptr &link)
{
    const auto found = m_inUse.find(link->remote.router);
    if (found == m_inUse.end() || found->second != link)
        return;
    m_inUse.erase(found);
    rememberPeers();
    // Routers that lost the same peer do not all connect at the same moment.
    for (auto &[address, target] : m_dial) {
        if (target.router == link->remote.router)
            target.nextAttempt = steadyNow() + target.delays.next();
    }
    if (m_hooks.onPeerDown)
        m_hooks.onPeerDown(link->remote);
}

void peer_network_core::enqueue(const link_ptr &link, const std::string &frame, bool isDigest)
{
    if (frame.size() > maxPeerFrameBytes) {
        refuse(makeFailure(errc::TooLarge, "peer message of " + std::to_string(frame.size())
                                                   + " bytes is not sent"));
        return;
    }
    if (!link->queue.push(frame, isDigest)) {
        refuse(makeFailure(errc::Overloaded, "peer " + link->remote.router + " reads too slowly"));
        dropLink(link);
        return;
    }
    flush(link);
}

void peer_network_core::flush(const link_ptr &link)
{
    while (!link->queue.isEmpty() && link->bufferedBytes() < maxBufferedBytes)
        link->send(*link->queue.pop());
}

void peer_network_core::refuse(const failure &reason)
{
    if (m_hooks.onRefusal)
        m_hooks.onRefusal(reason);
}

template <class Connection>
link_ptr peer_network_core::attach(const std::shared_ptr<Connection> &connection,
                                   handshake_role role, const std::string &target)
{
    peer_hello own = m_settings.identity;
    own.nonce = randomHex(nonceBytes, m_random);
    const auto link = std::make_shared<peer_link>(role, std::move(own), m_settings.secret, target,
                                                  m_settings.maxQueueBytes);
    const std::weak_ptr<Connection> weak = connection;
    link->send = [weak](const std::string &frame) {
        if (const auto held = weak.lock())
            held->send(frame, websocketpp::frame::opcode::binary);
    };
    link->ping = [weak] {
        websocketpp::lib::error_code ignored;
        if (const auto held = weak.lock())
            held->ping("", ignored);
    };
    link->close = [weak] {
        websocketpp::lib::error_code ignored;
        if (const auto held = weak.lock())
            held->close(websocketpp::close::status::going_away, "", ignored);
    };
    link->bufferedBytes = [weak] {
        const auto held = weak.lock();
        return held ? held->get_buffered_amount() : 0;
    };
    link->setMaxFrame = [weak](std::size_t bytes) {
        if (const auto held = weak.lock())
            held->set_max_message_size(bytes);
    };

    connection->set_max_message_size(maxHandshakeFrameBytes);
    connection->set_close_handshake_timeout(closeTimeoutMillis);
    connection->set_pong_timeout(0); // silence is judged by checkLinks()
    const auto self = shared_from_this();
    using handle = websocketpp::connection_hdl;
    connection->set_open_handler([self, link, weak](const handle &) {
        error_code ignored;
        if (const auto held = weak.lock())
            held->get_raw_socket().set_option(tcp::no_delay(true), ignored);
        link->lastReceived = steadyNow();
        self->post([link](peer_network_core &core) { core.onLinkOpen(link); });
        link->send(toCbor(link->handshake.hello()));
    });
    connection->set_message_handler(
            [self, link](const handle &, const typename Connection::message_ptr &message) {
                const bool isBinary = message->get_opcode() == websocketpp::frame::opcode::binary;
                self->onFrame(link, message->get_payload(), isBinary);
            });
    connection->set_pong_handler([link](const handle &, const std::string &) {
        if (link->handshake.isComplete()) // else a stranger could keep its connection open
            link->lastReceived = steadyNow();
    });
    const auto onEnd = [self, link](const handle &) {
        self->post([link](peer_network_core &core) { core.onLinkClosed(link); });
    };
    connection->set_close_handler(onEnd);
    connection->set_fail_handler(onEnd);
    return link;
}

void peer_network_core::onFrame(const link_ptr &link, const std::string &frame, bool isBinary)
{
    if (link->isRefused)
        return;
    const bool isAuthentic = link->handshake.isComplete();
    if (!isBinary) {
        refuseLink(link, makeFailure(errc::InvalidMessage, "peer sent a text frame"));
        return;
    }
    const auto message
            = parsePeerMessage(frame, isAuthentic ? maxPeerFrameBytes : maxHandshakeFrameBytes);
    if (!message) {
        refuseLink(link, message.error());
        return;
    }
    if (!isAuthentic) {
        onHandshake(link, message.value());
        return;
    }
    link->lastReceived = steadyNow();
    post([link, typed = message.value()](peer_network_core &core) {
        core.onLinkMessage(link, typed);
    });
}

void peer_network_core::onHandshake(const link_ptr &link, const peer_message &message)
{
    const auto *hello = std::get_if<peer_hello>(&message);
    const auto *proof = std::get_if<peer_proof>(&message);
    if (!hello && !proof) {
        refuseLink(link, makeFailure(errc::Unauthenticated, "peer sent data before its proof"));
        return;
    }
    const auto answer = hello ? link->handshake.onHello(*hello) : link->handshake.onProof(*proof);
    if (!answer) {
        link->isSelf = link->handshake.isSelf();
        refuseLink(link, answer.error());
        return;
    }
    if (answer.value())
        link->send(toCbor(*answer.value()));
    if (!link->handshake.isComplete())
        return;
    link->setMaxFrame(maxPeerFrameBytes);
    link->lastReceived = steadyNow();
    post([link, remote = link->handshake.peer()](peer_network_core &core) {
        core.onLinkUp(link, remote);
    });
}

void peer_network_core::refuseLink(const link_ptr &link, const failure &reason)
{
    link->isRefused = true;
    link->close();
    if (!link->isSelf)
        post([reason](peer_network_core &core) { core.refuse(reason); });
}

} // namespace fescuedeck::detail

namespace fescuedeck {

peer_network::peer_network(boost::asio::io_context &ioContext, peer_network_settings settings,
                           peer_network_hooks hooks, random_fn random)
    : m_core(std::make_shared<detail::peer_network_core>(ioContext, std::move(settings),
                                                         std::move(hooks), std::move(random)))
{
}

peer_network::~peer_network() = default;

std::error_code peer_network::start(const std::string &address)
{
    return m_core->start(address);
}

std::uint16_t peer_network::port() const
{
    return m_core->port();
}

void peer_network::stop()
{
    m_core->stop();
}

void peer_network::setPeers(const std::vector<std::string> &addresses)
{
    m_core->setPeers(addresses);
}

void peer_network::send(const std::string &router, const peer_message &message)
{
    send(std::vector<std::string>{ router }, message);
}

void peer_network::send(const std::vector<std::string> &routers, const peer_message &message)
{
    m_core->send(routers, message);
}

void peer_network::broadcast(const peer_message &message)
{
    m_core->broadcast(message);
}

void peer_network::digestChanged()
{
    m_core->digestChanged();
}

std::vector<std::string> peer_network::peers() const
{
    return m_core->peers();
}

int peer_network::openConnections() const
{
    return m_core->openConnections();
}

} // namespace fescuedeck
