// The platform around the gateways: settings files, processes, the store, the configuration.
#ifndef REVIEW_STANDIN_2_DEPLOYMENT_H
#define REVIEW_STANDIN_2_DEPLOYMENT_H

#include <fstream>
#include <memory>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "replica.h"
#include "store.h"

namespace standin {

struct gateway_place
{
    std::string name, zone = "merzouga";
    int front = 0, ready = 0, control = 0, firstInternal = 0;
};

// Ports that are free now, next to each other.
inline int freePorts(int count)
{
    static int next = 20000 + static_cast<int>(::getpid() % 97) * 100;
    while (true) {
        const int first = next;
        next += count;
        if (next > 32000)
            next = 20000;
        std::vector<int> held;
        for (int port = first; port < first + count; ++port) {
            const int descriptor = listenOn(port).first;
            if (descriptor < 0)
                break;
            held.push_back(descriptor);
        }
        for (const int descriptor : held)
            ::close(descriptor);
        if (static_cast<int>(held.size()) == count)
            return first;
    }
}

class deployment
{
public:
    // folder gets settings and logs. program is this program, which also runs the replicas.
    deployment(std::string folder, std::string record, std::string gateway, std::string program)
        : m_folder(std::move(folder))
        , m_recordPath(std::move(record))
        , m_gateway(std::move(gateway))
        , m_program(std::move(program))
        , m_record(m_recordPath)
        , m_start(steady::now())
    {
    }
    // Ends all processes that were started.
    void endAll()
    {
        for (const pid_t pid : m_children) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
        }
        for (const pid_t pid : m_children)
            ::waitpid(pid, nullptr, 0);
        m_children.clear();
    }
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    store &platformStore() { return m_store; }
    const record_file &record() const { return m_record; }
    double now() const { return secondsSince(m_start); }
    const std::string &recordPath() const { return m_recordPath; }

    gateway_place addGateway(const std::string &name, const std::string &zone)
    {
        gateway_place place;
        place.name = name;
        place.zone = zone;
        const int first = freePorts(20);
        place.front = first;
        place.ready = first + 1;
        place.control = first + 2;
        place.firstInternal = first + 4;
        return place;
    }
    // As the deploy file says. Returns the process id.
    pid_t startGateway(const gateway_place &place)
    {
        const std::string settings = m_folder + "/" + place.name + ".yaml";
        std::ofstream(settings) << settingsOf(place);
        const pid_t pid = start({ m_gateway }, { "FESCUEDECK_SETTINGS=" + settings },
                                m_folder + "/" + place.name + ".log");
        m_record.add("gateway " + place.name + " starts as process " + std::to_string(pid));
        return pid;
    }
    bool waitUntilReady(const gateway_place &place, double seconds = 20)
    {
        const auto start = steady::now();
        while (secondsSince(start) < seconds) {
            connection to;
            message answer;
            to.readUntil(steady::now() + std::chrono::milliseconds(500));
            if (to.connect(place.ready)
                && to.write("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                && to.readResponse(answer) && answer.status == 200)
                return true;
            sleepMs(50);
        }
        return false;
    }
    pid_t startReplica(replica_settings &settings)
    {
        if (settings.port == 0)
            settings.port = freePorts(1);
        std::vector<std::string> arguments{ m_program,
                                            "replica",
                                            settings.id,
                                            settings.service,
                                            settings.zone,
                                            m_recordPath,
                                            std::to_string(settings.port),
                                            std::to_string(m_store.port()),
                                            std::to_string(settings.slots),
                                            std::to_string(settings.queue),
                                            std::to_string(settings.workMs),
                                            std::to_string(settings.from),
                                            std::to_string(settings.to),
                                            std::to_string(settings.events),
                                            std::to_string(settings.lostShare),
                                            std::to_string(settings.writeMs) };
        const pid_t pid
                = start(arguments, { "STANDIN_FOLDER=" + m_folder }, m_folder + "/replicas.log");
        m_record.add("replica " + settings.id + " of " + settings.service + " starts");
        return pid;
    }
    // The replica says nothing; its entry is removed after three heartbeat intervals.
    void crash(pid_t pid, const std::string &id)
    {
        m_record.add("replica " + id + " crashes");
        end(pid, SIGKILL);
        std::thread([this, id] {
            sleepMs(3 * 1200);
            m_store.put("keyed.servers", id, "");
        }).detach();
    }
    void end(pid_t pid, int signal)
    {
        ::kill(pid, signal);
        ::waitpid(pid, nullptr, 0);
        m_children.erase(std::remove(m_children.begin(), m_children.end(), pid), m_children.end());
    }
    bool isRunning(pid_t pid)
    {
        int status = 0;
        if (std::find(m_children.begin(), m_children.end(), pid) == m_children.end())
            return false;
        if (::waitpid(pid, &status, WNOHANG) != pid)
            return true;
        m_children.erase(std::remove(m_children.begin(), m_children.end(), pid), m_children.end());
        m_lastEnd = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "status " + std::to_string(WEXITSTATUS(status));
        return false;
    }
    const std::string &lastEnd() const { return m_lastEnd; }

private:
    std::string settingsOf(const gateway_place &place) const
    {
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        return "node: \"" + place.name
               + "\"\nrole: \"gateway\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n"
                 "ipAddress: \"127.0.0.1\"\nzone: \""
               + place.zone
               + "\"\nregion: \"sud-est\"\nzones:\n  merzouga: \"sud-est\"\n  erfoud: \"sud-est\"\n"
                 "listenAddresses:\n  front: \""
               + address(place.front) + "\"\n  ready: \"" + address(place.ready)
               + "\"\n  control: \"" + address(place.control) + "\"\ninternalPortRange:\n  - "
               + std::to_string(place.firstInternal) + "\n  - "
               + std::to_string(place.firstInternal + 15)
               + "\nseedAddresses: []\nbootstrap: true\ncountsTowardTolerance: false\nlimits:\n"
                 "  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  fileDescriptors: 4200\n"
                 "  linkMbps: 1000.0\n  diskMb: 0\ndataDirectory: null\ndiscovery: \"platform\"\n"
                 "entry: \"virtual_ip\"\nheartbeatIntervalMs: 1200\ncontracts: [\"base\", "
                 "\"drain\","
                 " \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", "
                 "\"tenants\","
                 " \"platform\", \"layers\"]\nfaultTolerance:\n  machines: 2\n  zones: 0\n"
                 "  regions: 0\nbounds:\n  seedLagS: 3\n  addressReuseS: 2\n  contactMs: 3000\n"
                 "  acknowledgeMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n  gracePeriodS: 8\n"
                 "  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
                 "  outerBoundMs: 5000\n  failClosed: false\n  revocationMs: 5000\n"
                 "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 196\n  recoveryS: 12\n"
                 "  passMs: 120\n  retryAfterS: 0\n  stall_ms: 2500\n  fencingRequired: true\n"
                 "platform:\n  address: \""
               + address(m_store.port())
               + "\"\n  form: \"log\"\n  writesPerS: 400\n  readsPerS: 2000\n  parts: 8\n"
                 "  appendMs: 4.0\n  partitionMbS: 20.0\n  readMbS: 80.0\n  recordBytes: 262144\n"
                 "  callBytes: 2097152\n  keep_s: 300\n  partitionMb: 200\n  ttlMinMs: 1000\n";
    }

    pid_t start(const std::vector<std::string> &command, const std::vector<std::string> &variables,
                const std::string &output)
    {
        std::vector<std::string> environment{ "PATH=/usr/bin:/bin", "LANG=C.UTF-8" };
        environment.insert(environment.end(), variables.begin(), variables.end());
        std::vector<char *> arguments, values;
        for (const std::string &text : command)
            arguments.push_back(const_cast<char *>(text.c_str()));
        for (const std::string &text : environment)
            values.push_back(const_cast<char *>(text.c_str()));
        arguments.push_back(nullptr);
        values.push_back(nullptr);
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a test that is cut off leaves nothing behind
            if (::getppid() != parent)
                ::_exit(2);
            const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::execve(arguments[0], arguments.data(), values.data());
            ::_exit(127);
        }
        m_children.push_back(pid);
        return pid;
    }

    const std::string m_folder, m_recordPath, m_gateway, m_program;
    const record_file m_record;
    const steady::time_point m_start;
    store m_store;
    std::vector<pid_t> m_children;
    std::string m_lastEnd;
};

} // namespace standin

#endif
