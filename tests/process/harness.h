// Tools of the tests with real processes: children, bounded waits, a blocking HTTP client and a
// reader of streamed completions.
//
// Every wait is for an event and has a limit, after which the test fails; no verdict depends on how
// fast a step is. Children are ended on destruction.
#ifndef FESCUEDECK_PROCESS_HARNESS_H
#define FESCUEDECK_PROCESS_HARNESS_H

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "fescuedeck/net/http_client.h"

namespace fescuedeck::process_tests {

constexpr std::chrono::seconds waitLimit(60);

// Whether the condition becomes true within the limit.
bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds limit = waitLimit);

// Path of a program of the same build.
std::string programPath(const std::string &name);

// A loopback port that is free now and that no other call returns, in any test process, until this
// process ends. It lies below the ports that the kernel gives to clients, so
// that no outgoing connection takes it before a child listens on it.
int freePort();
// The first of that many consecutive ports, for which the same holds.
int freePorts(int count);

class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    const std::string &path() const { return m_path; }
    // Writes a file and returns its path.
    std::string write(const std::string &name, const std::string &content) const;

private:
    std::string m_path;
};

class child_process
{
public:
    // Starts build/<program>; its output goes to <folder>/<label>.out and .err. Throws
    // std::runtime_error if it cannot be started.
    child_process(const std::string &program, const std::vector<std::string> &arguments,
                  const std::string &folder, const std::string &label);
    // Kills the process if it still runs.
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    bool isRunning();
    // Exit status, or 128 + the signal's number; empty if it still runs after the limit.
    std::optional<int> waitForExit(std::chrono::milliseconds limit = waitLimit);
    // Address in the line "<name> ip:port" that the process prints when it listens. Throws
    // std::runtime_error with its error output if it ends or does not print the line.
    std::string waitForAddress(const std::string &name);
    std::string output() const;
    std::string errorOutput() const;

private:
    std::string m_label;
    std::string m_outputFile;
    std::string m_errorFile;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

// What came back from a streamed completion so far. Thread-safe.
class sse_stream
{
public:
    struct state;

    explicit sse_stream(std::shared_ptr<state> state)
        : m_state(std::move(state))
    {
    }

    // Whether this many data events arrive; false at once if the stream ends before.
    bool waitForEvents(std::size_t count) const;
    // Whether the response ends, completely or by a failure.
    bool waitForEnd() const;
    std::vector<std::string> events() const;
    // Texts of choices[0] of all events.
    std::string text() const;
    // fescuedeck.outcome of the last event that has one.
    std::string outcome() const;
    // Set once the response has ended.
    std::optional<call_result> end() const;

private:
    std::shared_ptr<state> m_state;
};

// Thread-safe.
class blocking_client
{
public:
    blocking_client();
    ~blocking_client();
    blocking_client(const blocking_client &) = delete;
    blocking_client &operator=(const blocking_client &) = delete;

    call_result send(const std::string &address, const http_request &request,
                     const call_options &options = defaultOptions());
    // Status 0 and the failure as body if there is no response.
    http_response call(const std::string &method, const std::string &address,
                       const std::string &target, const std::string &body = "",
                       const std::vector<http_header> &headers = {});
    // Body as JSON; null if the call fails or the body is not JSON.
    nlohmann::json get(const std::string &address, const std::string &target);
    nlohmann::json post(const std::string &address, const std::string &target,
                        const nlohmann::json &body);
    sse_stream stream(const std::string &address, const http_request &request);

    static call_options defaultOptions();

private:
    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    http_client m_client;
    std::thread m_thread;
};

// Adds one fault rule (fields in standins/fault_script.h) to a stand-in.
void addFault(blocking_client &client, const std::string &address, const nlohmann::json &rule);
// Number of calls that the stand-in's fault rules were applied to.
int firedFaults(blocking_client &client, const std::string &address);

} // namespace fescuedeck::process_tests

#endif
