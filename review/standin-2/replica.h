// A stand-in of a replica, run as a process of its own: a plain service, or a model engine that
// holds a range of layers.
#ifndef REVIEW_STANDIN_2_REPLICA_H
#define REVIEW_STANDIN_2_REPLICA_H

#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <mutex>
#include <random>

#include "http.h"

namespace standin {

// Lines of one file that several processes append to.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }
    void add(const std::string &text) const
    {
        const double now
                = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
                          .count();
        char time[32];
        std::snprintf(time, sizeof(time), "%.3f ", now);
        const std::string line = time + text + "\n";
        if (::write(m_descriptor, line.data(), line.size()) < 0)
            std::abort();
    }

private:
    int m_descriptor;
};

struct replica_settings
{
    std::string id, service, zone, record;
    int port = 0, storePort = 0;
    int slots = 6, queue = 24;
    double workMs = 60;   // of a plain request, or between two events of a stream
    double writeMs = 60;  // of a plain request that is no GET
    int from = 0, to = 0; // layers; none for a plain service
    int events = 60;
    double lostShare = 0; // of the answers that it loses after the run began
};

inline volatile std::sig_atomic_t losesAnswers = 0;

class replica
{
public:
    explicit replica(replica_settings settings)
        : m_settings(std::move(settings))
        , m_record(m_settings.record)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count())
    {
    }

    int run()
    {
        ::signal(SIGUSR1, [](int) { losesAnswers = 1; });
        ::signal(SIGUSR2, [](int) { losesAnswers = 0; });
        const auto [listener, port] = listenOn(m_settings.port);
        if (listener < 0)
            return 2;
        std::ofstream(processFile(m_settings.port)) << ::getpid();
        announce();
        serveForEver(listener, [this](connection &to) {
            message request;
            while (to.readRequest(request) && respond(to, request))
                continue;
        });
        return 0;
    }

private:
    bool isEngine() const { return m_settings.to > 0; }
    std::string ownAddress() const { return "127.0.0.1:" + std::to_string(m_settings.port); }

    std::string layersJson() const
    {
        return "{\"from\":" + std::to_string(m_settings.from)
               + ",\"to\":" + std::to_string(m_settings.to) + ",\"version\":1}";
    }
    std::string engineJson() const
    {
        return "\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
               "\"kind\":\"a100s\",\"layers\":"
               + layersJson() + ",\"born\":" + std::to_string(m_born);
    }
    void announce()
    {
        std::string entry = "{\"service\":\"" + m_settings.service + "\",\"address\":\""
                            + ownAddress() + "\",\"zone\":\"" + m_settings.zone
                            + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_settings.slots)
                            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":"
                            + std::to_string(++m_announced) + ",";
        entry += isEngine() ? engineJson() : "\"born\":" + std::to_string(m_born);
        entry += "}";
        connection to;
        message answer;
        if (!to.connect(m_settings.storePort))
            std::exit(2);
        to.write("POST /standin/announce?key=" + m_settings.id
                 + " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(entry.size())
                 + "\r\n\r\n" + entry);
        to.readResponse(answer);
    }

    // Returns false if the connection ends.
    bool respond(connection &to, const message &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/health")
            return to.write(responseText(200, { { "Instance-Id", m_settings.id } }, ""));
        if (path == "/api/report")
            return to.write(
                    responseText(200, { { "Content-Type", "application/json" } }, report()));
        if (path == "/api/order")
            return to.write(order(request));
        const std::string id = request.header("Request-Id");
        const std::string expected = request.header("Expected-Instance");
        if (!expected.empty() && expected != m_settings.id)
            return to.write(responseText(
                    421, { { "Request-Id", id }, { "Instance-Id", m_settings.id } }, ""));
        if (++m_open > m_settings.slots + m_settings.queue) {
            --m_open;
            return to.write(
                    responseText(503, { { "Request-Id", id }, { "Not-Executed", "1" } }, ""));
        }
        while (true) { // waits for a slot
            int running = m_running;
            if (running < m_settings.slots
                && m_running.compare_exchange_strong(running, running + 1))
                break;
            sleepMs(2);
        }
        m_record.add("replica " + m_settings.id + " begins " + id + " " + request.method + " "
                     + request.target);
        const bool goesOn = isEngine() ? stream(to, request, id) : runPlain(to, request, id);
        --m_running;
        --m_open;
        return goesOn;
    }

    // SIGUSR1 begins the time in which answers are lost, SIGUSR2 ends it.
    bool isLost()
    {
        const std::lock_guard lock(m_mutex);
        return losesAnswers && std::bernoulli_distribution(m_settings.lostShare)(m_random);
    }

    bool runPlain(connection &to, const message &request, const std::string &id)
    {
        sleepMs(request.method == "GET" ? m_settings.workMs : m_settings.writeMs);
        m_record.add("replica " + m_settings.id + " ends " + id);
        if (isLost()) {
            to.reset();
            return false;
        }
        return to.write(responseText(200,
                                     { { "Request-Id", id }, { "Response-Seal", "seal-" + id } },
                                     "answer to " + request.target));
    }

    struct part
    {
        std::string address;
        int port = 0;
    };
    static std::vector<part> partsOf(const std::string &text)
    {
        std::vector<part> parts;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t end = std::min(text.find(',', at), text.size());
            const std::string entry = text.substr(at, end - at);
            const std::string address = entry.substr(0, entry.find('='));
            parts.push_back({ address, std::atoi(address.substr(address.rfind(':') + 1).c_str()) });
            at = end + 1;
        }
        return parts;
    }
    // Engines find each other's process by a file.
    static std::string processFile(int port)
    {
        const char *folder = std::getenv("STANDIN_FOLDER");
        return std::string(folder == nullptr ? "." : folder) + "/process." + std::to_string(port);
    }
    // The first other part of the path that is dead; empty if all live.
    std::string deadPart(const std::string &path) const
    {
        for (const part &each : partsOf(path)) {
            pid_t process = 0;
            std::ifstream(processFile(each.port)) >> process;
            if (process <= 0 || ::kill(process, 0) != 0)
                return each.address;
        }
        return {};
    }

    bool stream(connection &to, const message &request, const std::string &id)
    {
        const std::string last = request.header("Last-Event-Id");
        setPath(id, request.header("Hop-Count"));
        m_record.add("replica " + m_settings.id + " path " + request.header("Hop-Count"));
        if (isLost()) {
            forget(id);
            to.reset();
            return false;
        }
        sleepMs(m_settings.workMs);
        bool isSent = to.write(headOf(200, { { "Request-Id", id },
                                             { "Response-Seal", "seal-" + id },
                                             { "Content-Type", "text/event-stream" },
                                             { "Transfer-Encoding", "chunked" } })
                               + "\r\n");
        for (int number = std::atoi(last.c_str()) + 1; isSent && number <= m_settings.events;
             ++number) {
            sleepMs(m_settings.workMs);
            const auto stalledAt = steady::now();
            for (std::string dead = deadPart(pathOf(id)); !dead.empty() && isSent;
                 dead = deadPart(pathOf(id))) {
                setStalled(id, dead);
                sleepMs(20);
                isSent = secondsSince(stalledAt) < 2.5 && !to.isClosed();
            }
            setStalled(id, "");
            isSent = isSent
                     && to.write(chunkOf("id: " + std::to_string(number) + "\ndata: piece "
                                         + std::to_string(number) + "\n\n"));
        }
        forget(id);
        m_record.add("replica " + m_settings.id + (isSent ? " ends " : " breaks off ") + id);
        return isSent && to.write("0\r\n\r\n");
    }

    void setPath(const std::string &id, const std::string &path)
    {
        const std::lock_guard lock(m_mutex);
        m_paths[id] = path;
    }
    std::string pathOf(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_paths[id];
    }
    void setStalled(const std::string &id, const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        if (address.empty())
            m_stalled.erase(id);
        else
            m_stalled[id] = address;
    }
    void forget(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_paths.erase(id);
        m_stalled.erase(id);
    }

    std::string report()
    {
        const std::lock_guard lock(m_mutex);
        std::string stalled;
        for (const auto &[id, address] : m_stalled)
            stalled += (stalled.empty() ? "" : ",") + std::string("{\"id\":\"id\",\"address\":\"")
                       + address + "\"}";
        return "{" + (isEngine() ? engineJson() : "\"born\":" + std::to_string(m_born))
               + ",\"busy\":" + (m_isBusy ? "true" : "false")
               + ",\"sequence\":" + std::to_string(m_orders)
               + ",\"queuedRequests\":0,\"runningRequests\":" + std::to_string(m_running)
               + ",\"kvCacheUsed\":0,\"kvCacheTotal\":1000000,\"handles\":0,\"pace\":1.0,"
                 "\"stalled\":["
               + stalled + "]}";
    }

    static int numberField(const std::string &body, const std::string &name)
    {
        const std::size_t found = body.find("\"" + name + "\":");
        return found == std::string::npos ? -1 : std::atoi(body.c_str() + found + name.size() + 3);
    }

    // Takes other layers, after a time to load them. The caller holds the mutex.
    std::string place(const std::string &body)
    {
        const int from = numberField(body, "from");
        const int to = numberField(body, "to");
        if (from == m_settings.from && to == m_settings.to)
            return responseText(200, {}, "{}");
        if (m_isBusy
            || (numberField(body, "expected") >= 0 && numberField(body, "expected") != m_orders))
            return responseText(409, {}, "{}");
        ++m_orders;
        m_isBusy = true;
        m_record.add("replica " + m_settings.id + " loads layers " + std::to_string(from) + " to "
                     + std::to_string(to));
        std::thread([this, from, to] {
            sleepMs(loadMs);
            {
                const std::lock_guard lock(m_mutex);
                m_settings.from = from;
                m_settings.to = to;
                m_isBusy = false;
            }
            announce();
        }).detach();
        return responseText(202, {}, "{}");
    }

    std::string order(const message &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string &body = request.body;
        if (body.find("\"place\"") != std::string::npos)
            return place(body);
        const auto field = [&](const std::string &name) {
            const std::size_t begin = body.find("\"" + name + "\":\"") + name.size() + 4;
            return body.substr(begin, body.find('"', begin) - begin);
        };
        const auto found = m_paths.find(field("id"));
        if (found == m_paths.end())
            return responseText(404, {}, "{}");
        found->second = field("path");
        ++m_orders;
        m_record.add("replica " + m_settings.id + " changes the path of a stream");
        return responseText(200, {}, "{}");
    }

    static constexpr double loadMs = 1000;

    replica_settings m_settings;
    const record_file m_record;
    const std::int64_t m_born;
    std::atomic<int> m_open{ 0 };
    std::atomic<int> m_running{ 0 };
    std::mutex m_mutex;
    std::mt19937 m_random{ std::random_device{}() };
    int m_orders = 0;
    bool m_isBusy = false;
    std::atomic<int> m_announced{ 0 };
    std::map<std::string, std::string> m_paths;   // by request
    std::map<std::string, std::string> m_stalled; // addresses that requests wait for
};

} // namespace standin

#endif
