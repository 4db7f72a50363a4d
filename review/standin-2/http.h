// Blocking HTTP/1.1 for the stand-ins of this review: one thread for each connection.
#ifndef REVIEW_STANDIN_2_HTTP_H
#define REVIEW_STANDIN_2_HTTP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using steady = std::chrono::steady_clock;

inline double secondsSince(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

struct message
{
    std::string method, target; // of a request
    int status = 0;             // of a response
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false; // the body has arrived whole

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    std::string parameter(const std::string &name) const
    {
        const std::size_t query = target.find('?');
        if (query == std::string::npos)
            return {};
        const std::string text = "&" + target.substr(query + 1);
        const std::size_t found = text.find("&" + name + "=");
        if (found == std::string::npos)
            return {};
        const std::size_t begin = found + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A connected socket. Reads end at the limit that is set.
class connection
{
public:
    explicit connection(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    connection(connection &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
        , m_readUntil(other.m_readUntil)
    {
    }

    // from is the own address, a loopback one.
    bool connect(int port, const std::string &from = "127.0.0.1")
    {
        close();
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in own = addressOf(from, 0);
        const sockaddr_in other = addressOf("127.0.0.1", port);
        const int one = 1;
        const timeval limit{ 1, 0 }; // clients allow a new connection one second
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0
               && ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&other), sizeof(other))
                          == 0;
    }
    void readUntil(steady::time_point limit) { m_readUntil = limit; }
    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
        m_buffer.clear();
    }
    // The other end sees a reset.
    void reset()
    {
        const linger now{ 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    bool write(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count
                    = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Whether the other end has closed the connection.
    bool isClosed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    bool readRequest(message &request)
    {
        request = {};
        std::string line;
        if (!readHead(line, request))
            return false;
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        if (second == std::string::npos)
            return false;
        request.method = line.substr(0, first);
        request.target = line.substr(first + 1, second - first - 1);
        return readBody(request, false, {});
    }
    // onPart gets the parts of the body as they arrive. Returns false if there was no head.
    bool readResponse(message &response,
                      const std::function<void(const std::string &)> &onPart = {})
    {
        response = {};
        std::string line;
        if (!readHead(line, response) || line.size() < 12)
            return false;
        response.status = std::atoi(line.c_str() + 9);
        response.isComplete = readBody(response, true, onPart);
        return true;
    }

private:
    bool fill()
    {
        int wait = -1;
        if (m_readUntil != steady::time_point{}) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_readUntil - steady::now());
            wait = static_cast<int>(std::max<std::int64_t>(0, left.count()));
        }
        pollfd waiting{ m_descriptor, POLLIN, 0 };
        if (::poll(&waiting, 1, wait) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool readLine(std::string &line)
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
    bool readHead(std::string &line, message &into)
    {
        if (!readLine(line))
            return false;
        std::string field;
        while (readLine(field) && !field.empty()) {
            const std::size_t colon = field.find(':');
            if (colon == std::string::npos)
                return false;
            const std::size_t begin = field.find_first_not_of(" \t", colon + 1);
            into.headers.emplace_back(field.substr(0, colon),
                                      begin == std::string::npos ? "" : field.substr(begin));
        }
        return field.empty();
    }
    bool take(std::size_t size, message &into,
              const std::function<void(const std::string &)> &onPart)
    {
        while (size > 0) {
            if (m_buffer.empty() && !fill())
                return false;
            const std::string part = m_buffer.substr(0, size);
            m_buffer.erase(0, part.size());
            size -= part.size();
            into.body += part;
            if (onPart)
                onPart(part);
        }
        return true;
    }
    bool readBody(message &into, bool isResponse,
                  const std::function<void(const std::string &)> &onPart)
    {
        if (strcasecmp(into.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::string line;
                if (!readLine(line))
                    return false;
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                if (!take(size, into, onPart) || !readLine(line))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        const std::string length = into.header("Content-Length");
        if (!length.empty())
            return take(std::strtoul(length.c_str(), nullptr, 10), into, onPart);
        if (!isResponse || into.status == 204 || into.status == 304)
            return true;
        while (fill())
            take(m_buffer.size(), into, onPart);
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
    steady::time_point m_readUntil{};
};

inline std::string headOf(int status,
                          const std::vector<std::pair<std::string, std::string>> &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text;
}

inline std::string responseText(int status,
                                const std::vector<std::pair<std::string, std::string>> &headers,
                                const std::string &body)
{
    return headOf(status, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

inline std::string chunkOf(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// Listens on the port of 127.0.0.1, or on any free one. Returns the descriptor and the port.
inline std::pair<int, int> listenOn(int port = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = addressOf("127.0.0.1", port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, 1024) != 0)
        return { -1, 0 };
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return { descriptor, ntohs(address.sin_port) };
}

// Serves each connection in a thread of its own, for ever.
inline void serveForEver(int listener, const std::function<void(connection &)> &serve)
{
    while (true) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            sleepMs(10);
            continue;
        }
        const int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([descriptor, serve] {
            connection accepted(descriptor);
            serve(accepted);
        }).detach();
    }
}

} // namespace standin

#endif
