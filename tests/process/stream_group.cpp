#include "stream_group.h"

#include <algorithm>
#include <stdexcept>

#include <catch2/catch.hpp>

#include "standins/toy_model.h"

namespace fescuedeck::process_tests {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t longDraftTokens = 40;
constexpr int promptTries = 1000;

std::chrono::milliseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start);
}

recovery_times watch(const sse_stream &stream, clock::time_point fault)
{
    recovery_times times;
    clock::time_point last = fault;
    for (std::size_t seen = stream.events().size(); stream.waitForEvents(seen + 1); ++seen) {
        if (last == fault)
            times.nextToken = since(fault);
        times.longestGap = std::max(times.longestGap, since(last));
        last = clock::now();
    }
    return times;
}

} // namespace

std::vector<stage_setup> slowStages(int batchMicroseconds)
{
    std::vector<stage_setup> stages = defaultStages();
    for (stage_setup &stage : stages)
        stage.flags = { "--fixed_us=" + std::to_string(batchMicroseconds) };
    return stages;
}

std::string longPrompt(const std::string &label)
{
    const standins::model_identity model{ "waiver", "1", "", 24 };
    for (int i = 0; i < promptTries; ++i) {
        std::string prompt = label + " " + std::to_string(i);
        const auto draft = standins::expectedDraft(model, prompt, standins::maxDraftTokens);
        if (draft.size() >= longDraftTokens)
            return prompt;
    }
    throw std::runtime_error("no prompt with a long draft begins with " + label);
}

void stream_group::start(const std::string &label, int count)
{
    std::vector<const router_member *> running;
    for (const router_member &router : m_fleet.routers) {
        if (router.process->isRunning())
            running.push_back(&router);
    }
    for (int i = 0; i < count; ++i) {
        const std::string prompt = longPrompt(label + " " + std::to_string(i));
        const router_member &router = *running[static_cast<std::size_t>(i) % running.size()];
        const http_request request
                = m_fleet.draftRequest(prompt, standins::maxDraftTokens, /*stream*/ true);
        m_entries.push_back({ prompt, m_fleet.client.stream(router.callers, request) });
    }
}

bool stream_group::waitForProgress(std::size_t tokens) const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const entry &each) {
        return each.stream.waitForEvents(each.marked + tokens);
    });
}

void stream_group::mark()
{
    for (entry &each : m_entries)
        each.marked = each.stream.events().size();
}

recovery_times stream_group::watchToEnd() const
{
    const auto fault = clock::now();
    std::vector<recovery_times> times(m_entries.size());
    std::vector<std::thread> watchers;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        watchers.emplace_back([&, i] { times[i] = watch(m_entries[i].stream, fault); });
    for (std::thread &watcher : watchers)
        watcher.join();
    recovery_times longest;
    for (const recovery_times &each : times) {
        longest.nextToken = std::max(longest.nextToken, each.nextToken);
        longest.longestGap = std::max(longest.longestGap, each.longestGap);
    }
    return longest;
}

void stream_group::checkWhole() const
{
    for (const entry &each : m_entries) {
        INFO("prompt: " << each.prompt);
        REQUIRE(each.stream.waitForEnd());
        const auto events = each.stream.events();
        REQUIRE(!events.empty());
        INFO("last events: " << (events.size() > 1 ? events[events.size() - 2] : "") << " "
                             << events.back());
        CHECK(each.stream.text() == m_fleet.expectedText(each.prompt, standins::maxDraftTokens));
        CHECK(each.stream.outcome() == "ran");
        CHECK(events.back() == "[DONE]");
    }
}

std::size_t busiestEngine(fleet_fixture &fleet)
{
    std::size_t busiest = 0;
    int mostHops = -1;
    for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
        const auto counts = fleet.client.get(fleet.engines[i].address, "/standin/counts");
        const int hops = counts.is_object() ? counts.value("hops", 0) : 0;
        if (hops > mostHops) {
            busiest = i;
            mostHops = hops;
        }
    }
    return busiest;
}

} // namespace fescuedeck::process_tests
