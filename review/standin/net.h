// Blocking HTTP/1.1 over loopback sockets for the stand-ins: servers with one thread per
// connection, and a client that keeps its connection.
#ifndef REVIEW_STANDIN_NET_H
#define REVIEW_STANDIN_NET_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the start of the process.
std::int64_t nowMs();
void sleepMs(std::int64_t millis);

// Header names are in lower case.
struct message
{
    std::string startLine; // of a response: its status line
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    int status = 0;
    bool isComplete = false; // the whole body has arrived

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

class connection
{
public:
    explicit connection(int descriptor)
        : m_fd(descriptor)
    {
    }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    // False if the connection ended before a whole request.
    bool readRequest(message &request);
    // Reads a response; status is 0 if the connection ended before its head.
    message readResponse();
    bool write(const std::string &bytes);
    // Whether the other end has closed the connection.
    bool isClosed() const;
    // Ends both directions, so that a thread that reads or writes returns.
    void shutDown();
    // Ends the connection with a reset.
    void reset();
    void close();
    int descriptor() const { return m_fd; }

private:
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &target);
    bool fill();
    bool readHead(message &target);
    bool readBody(message &target, bool endsWithConnection);

    int m_fd;
    std::string m_buffer;
};

// Connects within the time limit; null if that fails.
std::unique_ptr<connection> connectTo(int port, int timeoutMs = 1000);

std::string responseText(int status, const std::map<std::string, std::string> &headers,
                         const std::string &body);

// Listens on a free loopback port and calls the handler in a thread for each connection.
class tcp_server
{
public:
    using handler = std::function<void(connection &)>;
    explicit tcp_server(handler serve);
    ~tcp_server();
    tcp_server(const tcp_server &) = delete;
    tcp_server &operator=(const tcp_server &) = delete;

    int port() const { return m_port; }
    // Closes the listener and all connections, as the end of the process would.
    void stop();

private:
    void acceptLoop();

    handler m_serve;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopped{ false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
    std::atomic<int> m_active{ 0 };
};

// A port that was free a moment ago.
int freePort();

} // namespace review

#endif
