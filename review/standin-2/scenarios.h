// The cases that main.cc plays.
#ifndef REVIEW_STANDIN_2_SCENARIOS_H
#define REVIEW_STANDIN_2_SCENARIOS_H

#include <iostream>
#include <set>
#include <sstream>

#include "clients.h"
#include "deployment.h"

namespace standin {

using scenario = std::function<int(deployment &, bool isTroubled)>;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int cannotRun = 2;

inline void report(deployment &platform, const std::string &text)
{
    platform.record().add(text);
    std::cout << text << std::endl;
}

// Gateways and replicas that all scenarios begin with.
struct fleet
{
    std::vector<gateway_place> gateways;
    std::vector<pid_t> gatewayPids;
    std::vector<replica_settings> replicas;
    std::vector<pid_t> replicaPids;

    void addGateways(deployment &platform, int count)
    {
        for (int i = 0; i < count; ++i)
            gateways.push_back(
                    platform.addGateway("front-merzouga-" + std::to_string(i + 1), "merzouga"));
    }
    void addDesk(int count, double workMs, double writeMs = 60)
    {
        for (int i = 0; i < count; ++i) {
            replica_settings settings;
            settings.id = "i-desk" + std::to_string(i + 1);
            settings.service = "waiver-desk";
            settings.zone = "merzouga";
            settings.workMs = workMs;
            settings.writeMs = writeMs;
            replicas.push_back(settings);
        }
    }
    // Engines that hold the 80 layers in five parts, each part on so many engines.
    void addEngines(int copies, double workMs, int events)
    {
        for (int i = 0; i < 5 * copies; ++i) {
            replica_settings settings;
            settings.id = "i-engine" + std::to_string(i + 1);
            settings.service = "drafting-llm";
            settings.zone = "merzouga";
            settings.slots = 192;
            settings.queue = 96;
            settings.workMs = workMs;
            settings.events = events;
            settings.from = 16 * (i % 5);
            settings.to = settings.from + 16;
            replicas.push_back(settings);
        }
    }
    bool start(deployment &platform)
    {
        platform.platformStore().put("keyed.op", "config", configJson(7));
        for (replica_settings &each : replicas)
            replicaPids.push_back(platform.startReplica(each));
        sleepMs(500);
        for (const gateway_place &each : gateways)
            gatewayPids.push_back(platform.startGateway(each));
        bool isReady = true;
        for (const gateway_place &each : gateways)
            isReady = isReady && platform.waitUntilReady(each);
        sleepMs(3000); // the list of replicas counts as complete
        return isReady;
    }
};

// What became of one request on a kept connection.
struct outcome
{
    std::string id;
    double sentAt = 0;        // seconds
    double answeredAfter = 0; // seconds; 0 without an answer
    int status = 0;           // 0 without an answer
    bool isServed = false;
    bool isFirstOnConnection = false;
};

// Clients until the end. Each begins a request once in a period, or when the one before has ended.
class client_group
{
public:
    using make_call = std::function<call()>;

    client_group(deployment &platform, const std::vector<gateway_place> &gateways, int count,
                 double periodMs, make_call make)
    {
        for (int i = 0; i < count; ++i) {
            const gateway_place place = gateways[static_cast<std::size_t>(i) % gateways.size()];
            m_threads.emplace_back([this, &platform, place, periodMs, make] {
                run(platform, place, periodMs, make);
            });
        }
    }
    ~client_group() { end(); }
    client_group(const client_group &) = delete;
    client_group &operator=(const client_group &) = delete;

    void end()
    {
        m_isOver = true;
        for (std::thread &each : m_threads)
            each.join();
        m_threads.clear();
    }
    std::vector<outcome> outcomes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_outcomes;
    }
    int sent() const { return static_cast<int>(outcomes().size()); }
    int served() const
    {
        const auto all = outcomes();
        return static_cast<int>(std::count_if(all.begin(), all.end(),
                                              [](const outcome &each) { return each.isServed; }));
    }
    double share() const { return sent() == 0 ? 1 : double(served()) / sent(); }
    std::string text() const { return std::to_string(served()) + " of " + std::to_string(sent()); }

private:
    void run(deployment &platform, const gateway_place &place, double periodMs,
             const make_call &make)
    {
        connection to;
        bool isFirst = true;
        while (!m_isOver) {
            const call request = make();
            if (!to.isOpen()) {
                isFirst = true;
                if (!to.connect(place.front)) {
                    to.close();
                    sleepMs(100);
                    continue;
                }
            }
            platform.record().add("client sends " + request.id + " " + request.method + " "
                                  + request.target + " to " + place.name);
            outcome result;
            result.id = request.id;
            result.sentAt = platform.now();
            result.isFirstOnConnection = isFirst;
            isFirst = false;
            const call_result answer = sendOn(to, request);
            result.status = answer.isWhole ? answer.status : 0;
            result.isServed = answer.isServed();
            result.answeredAfter = answer.isWhole ? platform.now() - result.sentAt : 0;
            platform.record().add("client gets " + std::to_string(answer.status)
                                  + (answer.isWhole ? "" : ", not whole,") + " for " + request.id);
            {
                const std::lock_guard lock(m_mutex);
                m_outcomes.push_back(result);
            }
            // Clients honour Retry-After up to a third of their time.
            const double wait
                    = std::min(std::atof(answer.retryAfter.c_str()) * 1000, request.limitMs / 3.0);
            const double passed = (platform.now() - result.sentAt) * 1000;
            sleepMs(std::max({ 5.0, periodMs - passed, wait }));
        }
    }

    std::atomic<bool> m_isOver{ false };
    mutable std::mutex m_mutex;
    std::vector<outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

// Ids of the requests that replicas began to run.
inline std::set<std::string> begunRequests(deployment &platform)
{
    std::set<std::string> begun;
    std::ifstream file(platform.recordPath());
    for (std::string time, who, name, verb, id, line; std::getline(file, line);) {
        std::istringstream words(line);
        if (words >> time >> who >> name >> verb >> id && who == "replica" && verb == "begins")
            begun.insert(id);
    }
    return begun;
}

// The port of the engine that runs the third part of the newest stream's path; 0 if there is none.
inline int portOfThirdPart(deployment &platform)
{
    int port = 0;
    std::ifstream file(platform.recordPath());
    for (std::string time, who, name, verb, path, line; std::getline(file, line);) {
        std::istringstream words(line);
        if (!(words >> time >> who >> name >> verb >> path) || who != "replica" || verb != "path")
            continue;
        std::istringstream parts(path);
        std::string part;
        for (int i = 0; i < 3; ++i)
            std::getline(parts, part, ',');
        port = std::atoi(part.substr(part.find(':') + 1).c_str());
    }
    return port;
}

inline call lookupOf(const std::string &waiver)
{
    return { "GET", "/lookup/" + waiver + "/", newId(), "" };
}

inline call draftOf(const std::string &id, const std::string &prompt, const std::string &parts)
{
    call request{ "POST", "/draft/", id, prompt };
    request.limitMs = 20000;
    request.more = { { "Model", "m0" }, { "Token-Counts", "760,154" }, { "Prompt-Prefix", parts } };
    return request;
}

// The rule RECOVER: of the requests sent later than recoveryS after the machines are back from a
// final fault, less than a quarter is served, though a quarter or more was before it.
class recovery_check
{
public:
    static constexpr double recoverySeconds = 12;

    // The final fault: all gateways are killed at once and start again a second later.
    void strike(deployment &platform, fleet &all)
    {
        m_faultAt = platform.now();
        report(platform, "all gateways are killed");
        for (const pid_t pid : all.gatewayPids)
            ::kill(pid, SIGKILL);
        for (const pid_t pid : all.gatewayPids)
            platform.end(pid, SIGKILL);
        sleepMs(1000);
        for (std::size_t i = 0; i < all.gateways.size(); ++i)
            all.gatewayPids[i] = platform.startGateway(all.gateways[i]);
        for (const gateway_place &each : all.gateways)
            platform.waitUntilReady(each);
        m_backAt = platform.now();
        report(platform, "all gateways are ready again");
    }
    void count(const std::string &name, const client_group &group)
    {
        int sent = 0;
        int served = 0;
        for (const outcome &each : group.outcomes()) {
            const bool isBefore = each.sentAt < m_faultAt;
            const bool isAfter = each.sentAt > m_backAt + recoverySeconds;
            m_sentBefore += isBefore ? 1 : 0;
            m_servedBefore += isBefore && each.isServed ? 1 : 0;
            sent += isAfter ? 1 : 0;
            served += isAfter && each.isServed ? 1 : 0;
        }
        m_sentAfter += sent;
        m_servedAfter += served;
        m_text += name + " " + std::to_string(served) + " of " + std::to_string(sent) + ", ";
    }
    int judge(deployment &platform) const
    {
        report(platform,
               "served after the recovery: " + m_text + "in all " + std::to_string(m_servedAfter)
                       + " of " + std::to_string(m_sentAfter) + "; before the final fault: "
                       + std::to_string(m_servedBefore) + " of " + std::to_string(m_sentBefore));
        if (4 * m_servedBefore < m_sentBefore || m_sentAfter == 0)
            return cannotRun;
        return 4 * m_servedAfter < m_sentAfter ? broken : held;
    }

private:
    double m_faultAt = 0;
    double m_backAt = 0;
    int m_sentBefore = 0;
    int m_servedBefore = 0;
    int m_sentAfter = 0;
    int m_servedAfter = 0;
    std::string m_text;
};

// One replica of a plain service crashes while it runs several requests that are equal.
inline int equalLookups(deployment &platform, bool isTroubled)
{
    fleet all;
    all.addGateways(platform, 2);
    all.addDesk(3, 200, 60);
    if (!all.start(platform))
        return cannotRun;
    const std::vector<gateway_place> first{ all.gateways[0] };
    const std::vector<gateway_place> second{ all.gateways[1] };
    const auto lookUp = [] { return lookupOf("waiver-17"); };
    client_group lookups(platform, first, 32, 500, lookUp);
    client_group lookupsElsewhere(platform, second, 4, 500, lookUp);
    client_group signatures(platform, all.gateways, 8, 500, [] {
        return call{ "POST", "/sign/", newId(), "rider " + newId() };
    });
    sleepMs(8000);
    if (isTroubled)
        platform.crash(all.replicaPids[0], all.replicas[0].id);
    sleepMs(3000);
    if (isTroubled) {
        all.replicas[0].id = "i-desk1b"; // a new incarnation at the same address
        platform.startReplica(all.replicas[0]);
    }
    sleepMs(1000);
    recovery_check check;
    check.strike(platform, all);
    sleepMs(45000);
    lookups.end();
    lookupsElsewhere.end();
    signatures.end();
    check.count("lookups", lookups);
    check.count("lookups at the other gateway", lookupsElsewhere);
    check.count("signatures", signatures);
    return check.judge(platform);
}

// An engine loses some answers for a few seconds, while many streams with the same prompt run.
inline int equalDrafts(deployment &platform, bool isTroubled)
{
    fleet all;
    all.addGateways(platform, 2);
    all.addEngines(2, 10, 20);
    // Requests begin at the two engines of the first part. One of them loses answers.
    all.replicas[0].lostShare = 0.4;
    if (!all.start(platform))
        return cannotRun;
    std::atomic<int> number{ 0 };
    client_group equal(platform, all.gateways, 12, 1000, [] {
        return draftOf(newId(), "the waiver of the day, in Darija", "5c1e07a2:40,e4402b7d:720");
    });
    client_group others(platform, all.gateways, 2, 1000, [&number] {
        const std::string own = std::to_string(1000 + ++number);
        return draftOf(newId(), "waiver " + own, "91bd3f06:40,a7" + own + ":720");
    });
    sleepMs(8000);
    if (isTroubled)
        ::kill(all.replicaPids[0], SIGUSR1);
    sleepMs(4000);
    ::kill(all.replicaPids[0], SIGUSR2);
    sleepMs(500);
    recovery_check check;
    check.strike(platform, all);
    sleepMs(45000);
    equal.end();
    others.end();
    check.count("drafts with the same prompt", equal);
    check.count("other drafts", others);
    return check.judge(platform);
}

// Starts gateways again that have ended by themselves, as the platform does, and counts the ends.
class restarter
{
public:
    restarter(deployment &platform, fleet &all)
        : m_thread([this, &platform, &all] {
            while (!m_isOver) {
                sleepMs(50);
                for (std::size_t i = 0; i < all.gatewayPids.size(); ++i) {
                    if (platform.isRunning(all.gatewayPids[i]))
                        continue;
                    ++m_ends;
                    report(platform, "gateway " + all.gateways[i].name
                                             + " has ended by itself: " + platform.lastEnd());
                    sleepMs(500);
                    all.gatewayPids[i] = platform.startGateway(all.gateways[i]);
                }
            }
        })
    {
    }
    int end()
    {
        m_isOver = true;
        m_thread.join();
        return m_ends;
    }

private:
    std::atomic<bool> m_isOver{ false };
    std::atomic<int> m_ends{ 0 };
    std::thread m_thread;
};

// An engine crashes while streams run through it whose request ids have bytes beyond ASCII.
inline int oddRequestIds(deployment &platform, bool isTroubled)
{
    fleet all;
    all.addGateways(platform, 2);
    all.addDesk(3, 300);
    all.addEngines(2, 50, 60);
    if (!all.start(platform))
        return cannotRun;
    restarter restarts(platform, all);
    client_group lookups(platform, all.gateways, 16, 320,
                         [] { return lookupOf("waiver-" + newId()); });
    std::atomic<int> number{ 0 };
    client_group drafts(platform, all.gateways, 40, 3500, [&number] {
        const std::string own = std::to_string(1000 + ++number);
        return draftOf(newId() + "-caf\xe9", "waiver " + own, "91bd3f06:40,a7" + own + ":720");
    });
    sleepMs(5000);
    const int port = portOfThirdPart(platform);
    for (std::size_t i = 0; isTroubled && i < all.replicas.size(); ++i) {
        if (all.replicas[i].port == port)
            platform.crash(all.replicaPids[i], all.replicas[i].id);
    }
    sleepMs(16000);
    lookups.end();
    drafts.end();
    const int ends = restarts.end();
    const std::set<std::string> begun = begunRequests(platform);
    int lost = 0;
    for (const outcome &each : lookups.outcomes()) {
        const bool isLost
                = each.status == 0 && !each.isFirstOnConnection && begun.count(each.id) > 0;
        lost += isLost ? 1 : 0;
    }
    report(platform, "lookups served: " + lookups.text() + ", drafts served: " + drafts.text()
                             + ", lookups passed on from a kept connection that was then closed"
                               " without an answer: "
                             + std::to_string(lost)
                             + ", ends of gateways: " + std::to_string(ends));
    return lost > 3 ? broken : held;
}

// Clients whose requests are within the limits, with a Connection header of many options.
inline int longConnectionHeaders(deployment &platform, bool isTroubled)
{
    fleet all;
    all.addGateways(platform, 2);
    all.addDesk(3, 60);
    if (!all.start(platform))
        return cannotRun;
    std::string options = "a";
    for (int i = 0; i < 3900; ++i)
        options += ",a";
    client_group ordinary(platform, all.gateways, 16, 200,
                          [] { return lookupOf("waiver-" + newId()); });
    sleepMs(2000);
    {
        client_group uncontrolled(platform, all.gateways, isTroubled ? 16 : 0, 0, [&options] {
            call request = lookupOf("waiver-" + newId());
            request.more.assign(1700, { "b", "" });
            request.more.emplace_back("Connection", options);
            return request;
        });
        sleepMs(30000);
        ordinary.end();
    }
    constexpr double timeout = 2; // of the route
    int unanswered = 0;
    int stillUnanswered = 0;
    for (const outcome &each : ordinary.outcomes()) {
        const bool hasAnswer = each.status != 0;
        unanswered += !hasAnswer || each.answeredAfter > timeout ? 1 : 0;
        stillUnanswered += !hasAnswer || each.answeredAfter > timeout + 0.5 ? 1 : 0;
    }
    report(platform, "ordinary lookups served: " + ordinary.text()
                             + ", without an answer at the timeout of the route: "
                             + std::to_string(unanswered)
                             + ", half a second later: " + std::to_string(stillUnanswered));
    return 2 * stillUnanswered > unanswered ? broken : held;
}

// Many connections of uncontrolled clients whose chunked bodies stop short of their end.
class open_bodies
{
public:
    open_bodies(int port, int count)
        : m_thread([this, port, count] {
            std::vector<std::unique_ptr<connection>> all(static_cast<std::size_t>(count));
            while (!m_isOver) {
                for (std::size_t i = 0; i < all.size() && !m_isOver; ++i) {
                    if (!all[i] || !all[i]->isOpen() || all[i]->isClosed())
                        all[i] = begin(port, "127.0.0." + std::to_string(2 + i % 4));
                }
                sleepMs(50);
            }
        })
    {
    }
    ~open_bodies()
    {
        m_isOver = true;
        m_thread.join();
    }

private:
    static std::unique_ptr<connection> begin(int port, const std::string &from)
    {
        auto to = std::make_unique<connection>();
        if (to->connect(port, from))
            to->write("POST /sign/ HTTP/1.1\r\nHost: " + std::string(host)
                      + "\r\nRequest-Id: " + newId() + "\r\nAuthorization: Token " + apiKey
                      + "\r\nDeadline-Milliseconds: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + chunkOf(std::string(600, 'x')));
        return to;
    }

    std::atomic<bool> m_isOver{ false };
    std::thread m_thread;
};

// Uncontrolled clients hold more connections than a gateway admits, with bodies that do not end.
inline int openBodies(deployment &platform, bool isTroubled)
{
    fleet all;
    all.addGateways(platform, 2);
    all.addDesk(3, 60);
    if (!all.start(platform))
        return cannotRun;
    constexpr int clients = 8;
    constexpr double contactSeconds = 3;
    std::unique_ptr<open_bodies> held;
    if (isTroubled)
        held = std::make_unique<open_bodies>(all.gateways[0].front, 2600);
    sleepMs(2000);
    // Each request has a connection of its own.
    std::atomic<bool> isOver{ false };
    std::mutex mutex;
    std::vector<double> servedAt, triedAt;
    std::map<int, int> statuses;
    std::vector<std::thread> threads;
    const double begin = platform.now();
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&] {
            while (!isOver) {
                const call request = lookupOf("waiver-" + newId());
                const double sentAt = platform.now();
                const call_result result = sendOnce(all.gateways[0].front, request);
                platform.record().add("client gets " + std::to_string(result.status) + " for "
                                      + request.id);
                {
                    const std::lock_guard lock(mutex);
                    triedAt.push_back(sentAt);
                    ++statuses[result.status];
                    if (result.isServed())
                        servedAt.push_back(platform.now());
                }
                const double wait = std::atof(result.retryAfter.c_str()) * 1000;
                sleepMs(std::max(200.0, std::min(wait, request.limitMs / 3.0)));
            }
        });
    }
    int asked = 0;
    int ready = 0;
    for (; asked < 60; ++asked) { // the platform asks once a second
        ready += platform.waitUntilReady(all.gateways[0], 0.9) ? 1 : 0;
        sleepMs(1000);
    }
    isOver = true;
    for (std::thread &each : threads)
        each.join();
    held.reset();
    servedAt.push_back(platform.now());
    std::sort(servedAt.begin(), servedAt.end());
    double longest = 0;
    double before = begin;
    for (const double at : servedAt) {
        longest = std::max(longest, at - before);
        before = at;
    }
    std::ostringstream text;
    text << "lookups served: " << servedAt.size() - 1 << " of " << triedAt.size()
         << ", longest time without one: " << longest << " s, ready: " << ready << " of " << asked
         << ", answers by status:";
    for (const auto &[status, count] : statuses)
        text << " " << status << ": " << count;
    report(platform, text.str());
    return longest > contactSeconds ? broken : standin::held;
}

inline std::map<std::string, scenario> allScenarios()
{
    return { { "equal_lookups", equalLookups },
             { "equal_drafts", equalDrafts },
             { "odd_request_ids", oddRequestIds },
             { "long_connection_headers", longConnectionHeaders },
             { "open_bodies", openBodies } };
}

} // namespace standin

#endif
