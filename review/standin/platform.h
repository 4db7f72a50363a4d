// Stand-ins for the platform: its store, the replicas' registration, and the start of a gateway
// process with a settings file.
#ifndef REVIEW_STANDIN_PLATFORM_H
#define REVIEW_STANDIN_PLATFORM_H

#include <condition_variable>
#include <fstream>

#include <sys/types.h>

#include "net.h"

namespace review {

// Writes record.txt. Thread-safe.
class recorder
{
public:
    explicit recorder(const std::string &path)
        : m_file(path)
    {
    }
    void note(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// The log of the platform's store, for the calls that the gateway uses.
class store
{
public:
    explicit store(recorder &record);

    int port() const { return m_server.port(); }
    // Writes a record of a keyed topic as the operator or a replica does. Returns its offset.
    std::int64_t put(const std::string &topic, const std::string &key, const std::string &value);
    void remove(const std::string &topic, const std::string &key) { put(topic, key, ""); }
    // While it is silent, the store answers nothing.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    // Called after each answer of log-newest was computed and before it is sent.
    std::function<void(const std::string &topic, bool hasMore, bool isFirstPage)> onNewest;

    // The link to a reader of log-newest loses a packet: its request for a further page arrives so
    // much later.
    std::atomic<int> delayOfNextPageMs{ 0 };

    ~store() { stop(); }
    void stop()
    {
        m_isStopped = true;
        m_server.stop();
    }

private:
    struct entry
    {
        std::string key;
        std::string value;
        std::string raw;
    };
    struct topic_log
    {
        std::vector<entry> records;
        std::map<std::string, std::size_t> newest;
    };

    void serve(connection &with);
    std::string answer(const message &request);
    std::string append(const message &request);
    std::string read(const message &request);
    std::string newest(const message &request);
    std::string join(const message &request);
    std::int64_t add(const std::string &topic, const std::string &raw);

    recorder &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic_log> m_topics;
    std::string m_holder; // of the lease
    std::int64_t m_holderSeen = 0;
    std::int64_t m_generation = 0;
    std::set<std::string> m_members;
    std::atomic<bool> m_isSilent{ false };
    std::atomic<bool> m_isStopped{ false };
    tcp_server m_server;
};

// One run of a request at a replica.
struct run
{
    std::string request;
    std::string replica;
    std::int64_t beganAt = 0;
    std::int64_t endedAt = -1; // -1 if its answer was not written whole
};

// All runs at all replicas. Thread-safe.
class run_log
{
public:
    std::size_t begin(const std::string &request, const std::string &replica);
    void end(std::size_t number);
    std::vector<run> all();

private:
    std::mutex m_mutex;
    std::vector<run> m_runs;
};

// A replica of a plain service.
class replica
{
public:
    // Serves one request that has been read; returns false to end the connection.
    using behaviour = std::function<bool(replica &, connection &, const message &)>;

    replica(std::string replicaId, std::string serviceName, std::string zoneName, store &registry,
            run_log &runs, recorder &record, behaviour serve);
    ~replica() { stop(); }

    // Registers the replica and repeats that every heartbeat interval.
    void announce(const std::string &state);
    // The entry is removed and not written again.
    void withdraw();
    void stop();

    // Runs the request for workMs and answers 200 with the seal. Returns false if the connection
    // has ended.
    bool runAndAnswer(connection &with, const message &request, int workMs,
                      const std::map<std::string, std::string> &extraHeaders = {});
    // Answers 421 if the request is meant for another instance.
    bool isMeantForOther(connection &with, const message &request);

    const std::string id;
    const std::string service;
    const std::string zone;
    store &registry;
    run_log &runs;
    recorder &record;
    const std::int64_t born;

    int port() const { return m_server.port(); }

private:
    void serve(connection &with);
    void writeEntry();

    behaviour m_behaviour;
    std::mutex m_mutex;
    std::string m_state;
    std::int64_t m_sequence = 0;
    bool m_isEnding = false;
    std::condition_variable m_ending;
    std::thread m_beats;
    tcp_server m_server;
};

// The entry of a replica in the store.
std::string entryText(const std::string &service, int port, const std::string &zone,
                      const std::string &state, std::int64_t sequence, std::int64_t born);

// A gateway process, started with the command of the deploy file.
class gateway_process
{
public:
    gateway_process(std::string command, std::string folder, std::string node, std::string zone,
                    int storePort, recorder &record);
    ~gateway_process();

    void start();
    bool waitUntilReady(int timeoutMs);
    void sendSignal(int signal) const;
    // Ends the process by SIGKILL and waits for it.
    void kill();
    // Whether the process has ended by itself; describes how.
    std::optional<std::string> ended();
    int frontPort() const { return m_frontPort; }
    std::int64_t residentKb() const;

private:
    const std::string m_command;
    const std::string m_folder;
    const std::string m_node;
    const std::string m_zone;
    const int m_storePort;
    recorder &m_record;
    int m_frontPort = 0;
    int m_readyPort = 0;
    pid_t m_pid = -1;
};

// A client with one kept connection.
class client
{
public:
    client(int port, std::string apiKey)
        : m_port(port)
        , m_key(std::move(apiKey))
    {
    }
    // Connects again if the connection was closed. The answer has status 0 if there is none.
    message send(const std::string &method, const std::string &path, const std::string &requestId,
                 const std::string &body, int deadlineMs);

private:
    int m_port;
    std::string m_key;
    std::unique_ptr<connection> m_connection;
};

} // namespace review

#endif
