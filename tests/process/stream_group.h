// Concurrent drafts of one test: started over all routers and compared with the toy model at the
// end. Use it to bring a fault about while streams are in flight.
#ifndef FESCUEDECK_PROCESS_STREAM_GROUP_H
#define FESCUEDECK_PROCESS_STREAM_GROUP_H

#include <chrono>
#include <string>
#include <vector>

#include "fleet_fixture.h"

namespace fescuedeck::process_tests {

// Times of a stream's tokens after a fault; for information only.
struct recovery_times
{
    std::chrono::milliseconds nextToken{ 0 };  // from the fault to the first token after it
    std::chrono::milliseconds longestGap{ 0 }; // between two tokens after the fault
};

// Stages that take some milliseconds for a batch, so that a stream lasts long enough for a fault.
std::vector<stage_setup> slowStages(int batchMicroseconds);
// A prompt that begins with the label and whose draft has at least 40 tokens.
std::string longPrompt(const std::string &label);

class stream_group
{
public:
    explicit stream_group(fleet_fixture &fleet)
        : m_fleet(fleet)
    {
    }

    // Starts count drafts, spread over the running routers.
    void start(const std::string &label, int count);
    // Whether each stream has delivered this many tokens more than at the last call of mark().
    bool waitForProgress(std::size_t tokens) const;
    // Remembers how many tokens each stream has delivered.
    void mark();
    // Waits for the end of all streams; call it directly after the fault. Returns the longest times
    // of all streams.
    recovery_times watchToEnd() const;
    // Checks that each stream has ended with the whole text of the toy model, "ran" and [DONE].
    // A layer that is left out or run twice changes the text.
    void checkWhole() const;

private:
    struct entry
    {
        std::string prompt;
        sse_stream stream;
        std::size_t marked = 0;
    };
    fleet_fixture &m_fleet;
    std::vector<entry> m_entries;
};

// Index of the engine that has run the most hops.
std::size_t busiestEngine(fleet_fixture &fleet);

} // namespace fescuedeck::process_tests

#endif
