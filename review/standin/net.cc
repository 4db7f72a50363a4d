#include "net.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

const auto processStart = std::chrono::steady_clock::now();

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

void parseTarget(const std::string &target, message &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::size_t at = mark + 1;
    while (at < target.size()) {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::string pair = target.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        at = end + 1;
    }
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - processStart)
            .count();
}

void sleepMs(std::int64_t millis)
{
    if (millis > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

bool connection::fill()
{
    char bytes[65536];
    const ssize_t count = ::recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::readBytes(std::size_t count, std::string &target)
{
    while (m_buffer.size() < count) {
        if (!fill())
            return false;
    }
    target += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readHead(message &target)
{
    if (!readLine(target.startLine))
        return false;
    std::string line;
    while (readLine(line)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        target.headers[lower(line.substr(0, colon))] = line.substr(value);
    }
    return false;
}

bool connection::readBody(message &target, bool endsWithConnection)
{
    if (lower(target.header("transfer-encoding")) == "chunked") {
        std::string line;
        while (readLine(line)) {
            const std::size_t size = std::stoul(line, nullptr, 16);
            std::string ignored;
            if (size == 0)
                return readLine(ignored);
            if (!readBytes(size, target.body) || !readLine(ignored))
                return false;
        }
        return false;
    }
    if (!target.header("content-length").empty())
        return readBytes(std::stoul(target.header("content-length")), target.body);
    if (!endsWithConnection)
        return true;
    while (fill()) {
    }
    target.body += m_buffer;
    m_buffer.clear();
    return true;
}

bool connection::readRequest(message &request)
{
    request = {};
    if (!readHead(request))
        return false;
    const std::size_t first = request.startLine.find(' ');
    const std::size_t second = request.startLine.rfind(' ');
    if (first == std::string::npos || second <= first)
        return false;
    request.method = request.startLine.substr(0, first);
    parseTarget(request.startLine.substr(first + 1, second - first - 1), request);
    request.isComplete = readBody(request, false);
    return request.isComplete;
}

message connection::readResponse()
{
    message response;
    if (!readHead(response) || response.startLine.size() < 12)
        return response;
    response.status = std::atoi(response.startLine.c_str() + 9);
    response.isComplete = readBody(response, true);
    return response;
}

bool connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::shutDown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

void connection::reset()
{
    const linger atOnce{ 1, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    close();
}

void connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

std::unique_ptr<connection> connectTo(int port, int timeoutMs)
{
    const std::int64_t end = nowMs() + timeoutMs;
    do {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            return std::make_unique<connection>(fd);
        }
        ::close(fd);
        sleepMs(20);
    } while (nowMs() < end);
    return nullptr;
}

std::string responseText(int status, const std::map<std::string, std::string> &headers,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

tcp_server::tcp_server(handler serve)
    : m_serve(std::move(serve))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    ::listen(m_listener, 256);
    socklen_t size = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

tcp_server::~tcp_server()
{
    stop();
}

void tcp_server::acceptLoop()
{
    while (!m_isStopped) {
        pollfd waiting{ m_listener, POLLIN, 0 };
        if (::poll(&waiting, 1, 20) <= 0)
            continue;
        const int fd = ::accept(m_listener, nullptr, nullptr);
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto accepted = std::make_shared<connection>(fd);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(accepted);
        }
        ++m_active;
        std::thread([this, accepted] {
            m_serve(*accepted);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.erase(accepted);
                accepted->close();
            }
            --m_active;
        }).detach();
    }
}

void tcp_server::stop()
{
    if (m_isStopped.exchange(true))
        return;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &open : m_connections)
            open->shutDown();
    }
    while (m_active > 0)
        sleepMs(5);
}

int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

} // namespace review
