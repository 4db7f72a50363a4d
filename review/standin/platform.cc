#include "platform.h"

#include <cstdlib>
#include <cstring>
#include <sstream>

#include <csignal>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int heartbeatMs = 1200;
// The pages allow at most 500; the site files say page = 50.
constexpr std::size_t newestPageItems = 50;
constexpr std::int64_t leaseMs = 2200;

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>((value >> shift) & 0xff);
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[(group >> (18 - 6 * j)) & 63] : '=';
    }
    return text;
}

// The text of a string field of a flat JSON object.
std::string textField(const std::string &json, const std::string &name)
{
    const std::size_t at = json.find("\"" + name + "\":\"");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return json.substr(begin, json.find('"', begin) - begin);
}

std::int64_t wallMs()
{
    timeval time{};
    ::gettimeofday(&time, nullptr);
    return std::int64_t{ time.tv_sec } * 1000 + time.tv_usec / 1000;
}

} // namespace

void recorder::note(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << nowMs() << " ms  " << line << std::endl;
}

store::store(recorder &record)
    : m_record(record)
    , m_server([this](connection &with) { serve(with); })
{
}

std::int64_t store::add(const std::string &topic, const std::string &raw)
{
    topic_log &log = m_topics[topic];
    entry added;
    added.raw = raw;
    const std::size_t keySize = static_cast<unsigned char>(raw[0]);
    added.key = raw.substr(1, keySize);
    added.value = raw.substr(1 + keySize);
    log.records.push_back(added);
    if (added.value.empty())
        log.newest.erase(added.key);
    else
        log.newest[added.key] = log.records.size() - 1;
    m_changed.notify_all();
    return static_cast<std::int64_t>(log.records.size()) - 1;
}

std::int64_t store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    return add(topic, static_cast<char>(key.size()) + key + value);
}

void store::serve(connection &with)
{
    message request;
    while (with.readRequest(request)) {
        if (request.path == "/api/log-newest" && request.query.count("after") > 0)
            sleepMs(delayOfNextPageMs);
        const std::string text = answer(request);
        // A connection on which a response is lost returns nothing further.
        while (m_isSilent) {
            if (with.isClosed())
                return;
            sleepMs(10);
        }
        if (text.empty() || !with.write(text))
            return;
    }
}

std::string store::answer(const message &request)
{
    if (m_isSilent)
        return {};
    if (request.path == "/api/log-append")
        return append(request);
    if (request.path == "/api/log-read")
        return read(request);
    if (request.path == "/api/log-newest")
        return newest(request);
    if (request.path == "/api/log-join")
        return join(request);
    if (request.path == "/api/log-leave") {
        const std::lock_guard lock(m_mutex);
        const std::string member = textField(request.body, "member");
        m_members.erase(member);
        if (m_holder == member) {
            m_holder.clear();
            ++m_generation;
        }
        return responseText(200, { { "Store-Era", "1" } }, "{}");
    }
    return responseText(404, { { "Store-Era", "1" } }, "{}");
}

std::string store::append(const message &request)
{
    const std::string topic = request.query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers")
        return responseText(403, { { "Store-Era", "1" } }, "{}");
    const std::lock_guard lock(m_mutex);
    const auto end = m_topics[topic].records.size();
    const auto at = request.query.find("at");
    if (at != request.query.end() && std::stoull(at->second) != end) {
        return responseText(412, { { "Store-Era", "1" } },
                            "{\"endOffset\":" + std::to_string(end) + "}");
    }
    std::size_t position = 0;
    while (position + 4 <= request.body.size()) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i)
            size = (size << 8) | static_cast<unsigned char>(request.body[position + i]);
        add(topic, request.body.substr(position + 4, size));
        position += 4 + size;
    }
    return responseText(200, { { "Store-Era", "1" } },
                        "{\"offset\":" + std::to_string(end) + ",\"endOffset\":"
                                + std::to_string(m_topics[topic].records.size()) + "}");
}

std::string store::read(const message &request)
{
    const std::string topic = request.query.at("topic");
    const std::uint64_t from = std::stoull(request.query.at("from"));
    const auto wait = request.query.find("waitMs");
    std::unique_lock lock(m_mutex);
    if (from > m_topics[topic].records.size())
        return responseText(410, { { "Store-Era", "1" } }, "{\"firstOffset\":0}");
    const std::int64_t end = nowMs() + (wait == request.query.end() ? 0 : std::stoll(wait->second));
    while (m_topics[topic].records.size() <= from && nowMs() < end && !m_isSilent && !m_isStopped)
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
    const topic_log &log = m_topics[topic];
    std::string body = bigEndian(log.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < log.records.size(); ++i)
        body += bigEndian(log.records[i].raw.size(), 4) + log.records[i].raw;
    return responseText(200, { { "Store-Era", "1" } }, body);
}

std::string store::newest(const message &request)
{
    const std::string topic = request.query.at("topic");
    const auto after = request.query.find("after");
    std::string items;
    bool hasMore = false;
    std::size_t end = 0;
    {
        const std::lock_guard lock(m_mutex);
        const topic_log &log = m_topics[topic];
        end = log.records.size();
        auto at = after == request.query.end() ? log.newest.begin()
                                               : log.newest.upper_bound(after->second);
        for (std::size_t count = 0; at != log.newest.end(); ++at, ++count) {
            if (count == newestPageItems) {
                hasMore = true;
                break;
            }
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + at->first
                     + "\",\"value\":\"" + base64(log.records[at->second].value)
                     + "\",\"offset\":" + std::to_string(at->second) + "}";
        }
    }
    if (onNewest)
        onNewest(topic, hasMore, after == request.query.end());
    return responseText(200, { { "Store-Era", "1" }, { "Content-Type", "application/json" } },
                        "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false")
                                + ",\"endOffset\":" + std::to_string(end) + "}");
}

std::string store::join(const message &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string member = textField(request.body, "member");
    if (m_members.insert(member).second)
        ++m_generation;
    if (!m_holder.empty() && m_holder != member && nowMs() - m_holderSeen > leaseMs) {
        m_members.erase(m_holder);
        m_holder.clear();
        ++m_generation;
    }
    if (m_holder.empty())
        m_holder = member;
    const bool isHolder = m_holder == member;
    if (isHolder)
        m_holderSeen = nowMs();
    return responseText(200, { { "Store-Era", "1" }, { "Content-Type", "application/json" } },
                        "{\"generation\":" + std::to_string(m_generation) + ",\"parts\":"
                                + (isHolder ? "[[\"placement\",0,0]]" : "[]") + "}");
}

std::size_t run_log::begin(const std::string &request, const std::string &replica)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back({ request, replica, nowMs(), -1 });
    return m_runs.size() - 1;
}

void run_log::end(std::size_t number)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].endedAt = nowMs();
}

std::vector<run> run_log::all()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string entryText(const std::string &service, int port, const std::string &zone,
                      const std::string &state, std::int64_t sequence, std::int64_t born)
{
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
           + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
           + "\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(sequence)
           + ",\"born\":" + std::to_string(born) + "}";
}

replica::replica(std::string replicaId, std::string serviceName, std::string zoneName,
                 store &registryStore, run_log &runLog, recorder &recordTo, behaviour serve)
    : id(std::move(replicaId))
    , service(std::move(serviceName))
    , zone(std::move(zoneName))
    , registry(registryStore)
    , runs(runLog)
    , record(recordTo)
    , born(wallMs())
    , m_behaviour(std::move(serve))
    , m_server([this](connection &with) { this->serve(with); })
{
}

void replica::serve(connection &with)
{
    message request;
    while (with.readRequest(request)) {
        if (request.path == "/health") {
            if (!with.write(responseText(200, { { "Instance-Id", id } }, "")))
                return;
            continue;
        }
        if (isMeantForOther(with, request))
            continue;
        if (!m_behaviour(*this, with, request))
            return;
    }
}

bool replica::isMeantForOther(connection &with, const message &request)
{
    const std::string expected = request.header("expected-instance");
    if (expected.empty() || expected == id)
        return false;
    with.write(responseText(421,
                            { { "Instance-Id", id },
                              { "Not-Executed", "1" },
                              { "Request-Id", request.header("request-id") } },
                            ""));
    return true;
}

bool replica::runAndAnswer(connection &with, const message &request, int workMs,
                           const std::map<std::string, std::string> &extraHeaders)
{
    const std::string requestId = request.header("request-id");
    const std::size_t number = runs.begin(requestId, id);
    record.note(id + " begins to run " + requestId);
    sleepMs(workMs);
    std::map<std::string, std::string> headers = extraHeaders;
    headers["Request-Id"] = requestId;
    headers["Response-Seal"] = "1." + id + "." + requestId;
    if (!with.write(responseText(200, headers, "done by " + id))) {
        record.note(id + " could not answer " + requestId);
        return false;
    }
    runs.end(number);
    record.note(id + " has run and answered " + requestId);
    return true;
}

void replica::writeEntry()
{
    registry.put("keyed.servers", id,
                 entryText(service, port(), zone, m_state, ++m_sequence, born));
}

void replica::announce(const std::string &state)
{
    std::unique_lock lock(m_mutex);
    const bool isNew = state != m_state;
    m_state = state;
    if (isNew)
        writeEntry();
    if (m_beats.joinable())
        return;
    m_beats = std::thread([this] {
        std::unique_lock beatLock(m_mutex);
        // The entry does not change while only its sequence grows.
        while (!m_isEnding) {
            m_ending.wait_for(beatLock, std::chrono::milliseconds(heartbeatMs));
            ++m_sequence;
        }
    });
}

void replica::withdraw()
{
    const std::lock_guard lock(m_mutex);
    registry.remove("keyed.servers", id);
}

void replica::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
    }
    m_ending.notify_all();
    if (m_beats.joinable())
        m_beats.join();
    m_server.stop();
}

gateway_process::gateway_process(std::string command, std::string folder, std::string node,
                                 std::string zone, int storePort, recorder &record)
    : m_command(std::move(command))
    , m_folder(std::move(folder))
    , m_node(std::move(node))
    , m_zone(std::move(zone))
    , m_storePort(storePort)
    , m_record(record)
    , m_frontPort(freePort())
    , m_readyPort(freePort())
{
    const int peers = freePort();
    const int operators = freePort();
    std::ofstream settings(m_folder + "/" + m_node + ".yaml");
    settings << "node: \"" << m_node << "\"\nrole: \"gateway\"\nmachineClass: \"front\"\n"
             << "serves:\n  - \"front\"\nipAddress: \"127.0.0.1\"\nzone: \"" << m_zone
             << "\"\nregion: \"sud-est\"\nlistenAddresses:\n  front: \"127.0.0.1:" << m_frontPort
             << "\"\n  ready: \"127.0.0.1:" << m_readyPort << "\"\ninternalPortRange:\n  - "
             << peers << "\n  - " << operators << "\nbootstrap: false\n"
             << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n"
             << "  fileDescriptors: 4200\n  linkMbps: 1000.0\n  diskMb: 0\n"
             << "discovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeatIntervalMs: "
             << heartbeatMs << "\nbounds:\n  contactMs: 3000\n  acknowledgeMs: 4000\n"
             << "  drainMs: 2000\n  gracePeriodS: 8\n  lossSlackMs: 200\n"
             << "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  outerBoundMs: 5000\n"
             << "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 196\n"
             << "  recoveryS: 12\n  passMs: 120\n  stall_ms: 2500\n  fencingRequired: true\n"
             << "platform:\n  address: \"127.0.0.1:" << m_storePort
             << "\"\n  form: \"log\"\n  writesPerS: 400\n  readsPerS: 2000\n  parts: 8\n";
}

gateway_process::~gateway_process()
{
    kill();
}

void gateway_process::start()
{
    const std::string settings = m_folder + "/" + m_node + ".yaml";
    const std::string log = m_folder + "/" + m_node + ".log";
    // Prepared before the fork, because only a few functions are safe after it.
    const std::string variable = "FESCUEDECK_SETTINGS=" + settings;
    const char *environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr };
    m_pid = ::fork();
    if (m_pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        // The stand-ins' sockets belong to this process only.
        for (int fd = 3; fd < 4096; ++fd)
            ::close(fd);
        ::execle(m_command.c_str(), m_command.c_str(), static_cast<char *>(nullptr), environment);
        ::_exit(127);
    }
    m_record.note("gateway " + m_node + " started");
}

bool gateway_process::waitUntilReady(int timeoutMs)
{
    const std::int64_t end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        const auto probe = connectTo(m_readyPort, 100);
        if (probe
            && probe->write("GET /api/readiness HTTP/1.1\r\nHost: gateway\r\n"
                            "Connection: close\r\n\r\n")
            && probe->readResponse().status == 200) {
            m_record.note("gateway " + m_node + " is ready");
            return true;
        }
        sleepMs(50);
    }
    return false;
}

void gateway_process::sendSignal(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

void gateway_process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

std::optional<std::string> gateway_process::ended()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = -1;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit status " + std::to_string(WEXITSTATUS(status));
}

std::int64_t gateway_process::residentKb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            std::int64_t size = 0;
            file >> size;
            return size;
        }
    }
    return 0;
}

message client::send(const std::string &method, const std::string &path,
                     const std::string &requestId, const std::string &body, int deadlineMs)
{
    if (!m_connection || m_connection->isClosed())
        m_connection = connectTo(m_port);
    if (!m_connection)
        return {};
    timeval limit{};
    limit.tv_sec = deadlineMs / 1000;
    limit.tv_usec = (deadlineMs % 1000) * 1000;
    ::setsockopt(m_connection->descriptor(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: "
                       + requestId + "\r\nDeadline-Milliseconds: " + std::to_string(deadlineMs)
                       + "\r\nAuthorization: Token " + m_key + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (method != "GET")
        text += body;
    message answer;
    if (m_connection->write(text))
        answer = m_connection->readResponse();
    if (!answer.isComplete || answer.header("connection") == "close")
        m_connection.reset();
    return answer;
}

} // namespace review
