#include "harness.h"

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fescuedeck/load/sse_parser.h"

extern char **environ; // NOLINT(readability-identifier-naming): name given by POSIX

namespace fescuedeck::process_tests {
namespace {

constexpr std::chrono::milliseconds pollPause(5);
constexpr int firstPort = 20000;
constexpr int portCount = 12000; // ends below the ephemeral ports, which start at 32768
constexpr int portTries = 200;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

// Address of the complete line "<name> <address>"; empty if there is none yet.
std::string addressIn(const std::string &output, const std::string &name)
{
    std::istringstream lines(output);
    std::string line;
    while (std::getline(lines, line) && !lines.eof()) {
        if (line.compare(0, name.size() + 1, name + " ") == 0)
            return line.substr(name.size() + 1);
    }
    return "";
}

int exitStatus(int waitStatus)
{
    return WIFSIGNALED(waitStatus) ? 128 + WTERMSIG(waitStatus) : WEXITSTATUS(waitStatus);
}

bool canListen(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound
            = bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(descriptor);
    return bound;
}

// Keeps other test processes, and later calls in this one, from taking the port. The lock ends with
// this process.
bool reservePort(int port)
{
    const auto folder = std::filesystem::temp_directory_path() / "fescuedeck-test-ports";
    std::filesystem::create_directories(folder);
    const std::string file = (folder / std::to_string(port)).string();
    const int descriptor = open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
    const bool isReserved = descriptor >= 0 && flock(descriptor, LOCK_EX | LOCK_NB) == 0;
    if (!isReserved && descriptor >= 0)
        close(descriptor);
    return isReserved;
}

std::vector<char *> argumentPointers(std::vector<std::string> *arguments)
{
    std::vector<char *> pointers;
    for (std::string &argument : *arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollPause);
    }
    return true;
}

std::string programPath(const std::string &name)
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

int freePort()
{
    static std::mutex mutex;
    static std::mt19937 engine{ std::random_device()() };
    const std::lock_guard lock(mutex);
    for (int i = 0; i < portTries; ++i) {
        const int port = firstPort + static_cast<int>(engine() % portCount);
        if (canListen(port) && reservePort(port))
            return port;
    }
    throw std::runtime_error("no free loopback port found");
}

temporary_folder::temporary_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fescuedeck-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create " + pattern);
    m_path = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string temporary_folder::write(const std::string &name, const std::string &content) const
{
    const std::string path = m_path + "/" + name;
    std::ofstream(path) << content;
    return path;
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments,
                             const std::string &folder, const std::string &label)
    : m_label(label)
    , m_outputFile(folder + "/" + label + ".out")
    , m_errorFile(folder + "/" + label + ".err")
{
    const std::string path = programPath(program);
    std::vector<std::string> words = { path };
    words.insert(words.end(), arguments.begin(), arguments.end());
    const std::vector<char *> pointers = argumentPointers(&words);
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
    constexpr mode_t mode = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_outputFile.c_str(), flags, mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, m_errorFile.c_str(), flags, mode);
    // A child that inherits the sockets of stand-ins keeps them open after the stand-in has ended.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error
            = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
}

child_process::~child_process()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
}

void child_process::signal(int number) const
{
    if (!m_status)
        kill(m_pid, number);
}

bool child_process::isRunning()
{
    int status = 0;
    if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_status = exitStatus(status);
    return !m_status;
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds limit)
{
    eventually([this] { return !isRunning(); }, limit);
    return m_status;
}

std::string child_process::waitForAddress(const std::string &name)
{
    std::string address;
    eventually([&] {
        address = addressIn(output(), name);
        return !address.empty() || !isRunning();
    });
    if (address.empty())
        address = addressIn(output(), name);
    if (address.empty())
        throw std::runtime_error(m_label + " did not print its address \"" + name
                                 + "\"; its errors: " + errorOutput());
    return address;
}

std::string child_process::output() const
{
    return readFile(m_outputFile);
}

std::string child_process::errorOutput() const
{
    return readFile(m_errorFile);
}

struct sse_stream::state
{
    std::mutex mutex;
    std::condition_variable changed;
    sse_parser parser;
    std::vector<std::string> events;
    std::optional<call_result> end;
};

bool sse_stream::waitForEvents(std::size_t count) const
{
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait_for(lock, waitLimit, [&] {
        return m_state->events.size() >= count || m_state->end.has_value();
    });
    return m_state->events.size() >= count;
}

bool sse_stream::waitForEnd() const
{
    std::unique_lock lock(m_state->mutex);
    return m_state->changed.wait_for(lock, waitLimit, [&] { return m_state->end.has_value(); });
}

std::vector<std::string> sse_stream::events() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->events;
}

std::string sse_stream::text() const
{
    std::string text;
    for (const std::string &event : events()) {
        const auto json = nlohmann::json::parse(event, nullptr, false);
        if (json.is_object() && json.contains("choices") && !json["choices"].empty())
            text += json["choices"][0].value("text", std::string());
    }
    return text;
}

std::string sse_stream::outcome() const
{
    std::string outcome;
    for (const std::string &event : events()) {
        const auto json = nlohmann::json::parse(event, nullptr, false);
        if (json.is_object() && json.contains("fescuedeck"))
            outcome = json["fescuedeck"].value("outcome", outcome);
    }
    return outcome;
}

std::optional<call_result> sse_stream::end() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->end;
}

call_options blocking_client::defaultOptions()
{
    call_options options;
    options.timeout = waitLimit;
    return options;
}

blocking_client::blocking_client()
    : m_work(boost::asio::make_work_guard(m_ioContext))
    , m_client(m_ioContext)
    , m_thread([this] { m_ioContext.run(); })
{
}

blocking_client::~blocking_client()
{
    m_ioContext.stop();
    m_thread.join();
}

call_result blocking_client::send(const std::string &address, const http_request &request,
                                  const call_options &options)
{
    const auto promise = std::make_shared<std::promise<call_result>>();
    auto future = promise->get_future();
    boost::asio::spawn(m_ioContext, [=](const boost::asio::yield_context &yield) {
        promise->set_value(m_client.send(address, request, options, yield));
    });
    return future.get();
}

http_response blocking_client::call(const std::string &method, const std::string &address,
                                    const std::string &target, const std::string &body,
                                    const std::vector<http_header> &headers)
{
    const call_result got = send(address, { method, target, headers, body });
    if (!got.response)
        return { 0, {}, got.response.error().message() };
    return got.response.value();
}

nlohmann::json blocking_client::get(const std::string &address, const std::string &target)
{
    const http_response response = call("GET", address, target);
    return nlohmann::json::parse(response.status == 0 ? "null" : response.body, nullptr, false);
}

nlohmann::json blocking_client::post(const std::string &address, const std::string &target,
                                     const nlohmann::json &body)
{
    const http_response response = call("POST", address, target, body.dump(),
                                        { { "Content-Type", "application/json" } });
    return nlohmann::json::parse(response.status == 0 ? "null" : response.body, nullptr, false);
}

sse_stream blocking_client::stream(const std::string &address, const http_request &request)
{
    const auto state = std::make_shared<sse_stream::state>();
    call_options options = defaultOptions();
    options.onBodyPart = [state](std::string_view part) {
        const std::lock_guard lock(state->mutex);
        for (std::string &event : state->parser.feed(part))
            state->events.push_back(std::move(event));
        state->changed.notify_all();
    };
    boost::asio::spawn(m_ioContext, [=](const boost::asio::yield_context &yield) {
        const call_result end = m_client.send(address, request, options, yield);
        const std::lock_guard lock(state->mutex);
        state->end = end;
        state->changed.notify_all();
    });
    return sse_stream(state);
}

void addFault(blocking_client &client, const std::string &address, const nlohmann::json &rule)
{
    const auto answer = client.post(address, "/standin/faults",
                                    { { "faults", nlohmann::json::array({ rule }) } });
    if (!answer.is_object() || !answer.contains("faults"))
        throw std::runtime_error("the stand-in refused the fault " + rule.dump());
}

int firedFaults(blocking_client &client, const std::string &address)
{
    int fired = 0;
    const auto answer = client.get(address, "/standin/faults");
    if (!answer.is_object())
        return 0;
    for (const auto &rule : answer["faults"])
        fired += rule["fired"].get<int>();
    return fired;
}

} // namespace fescuedeck::process_tests
