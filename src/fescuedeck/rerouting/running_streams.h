// The streams of this gateway that run through chains of several engines, so that their paths can
// be changed while they run.
#ifndef FESCUEDECK_REROUTING_RUNNING_STREAMS_H
#define FESCUEDECK_REROUTING_RUNNING_STREAMS_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/endpoint_choice.h"

namespace fescuedeck {

// How far a running stream has got.
struct stream_status
{
    time_point activeAt{};   // last event, or the end of the last write to the caller
    duration usualGap{};     // between events; zero while unknown
    std::int64_t tokens = 0; // of the prompt and the answer so far, at least
    bool hasBegun = false;   // an event has arrived
    // Whether a path change may be ordered: the request has been sent, no other attempt of it is
    // open, and the caller takes the events.
    bool mayMove = false;
};

// One attempt of a request for a stream.
struct running_stream
{
    std::string request; // id
    std::string service;
    const engine_spec *engine = nullptr; // of the service; not null
    int rank = 0;                        // 0 is the most urgent
    duration gapObjective{};             // zero if none is stated
    std::uint64_t requestHash = 0;
    double cacheTokens = 0;                // that the request needs in the caches of its engines
    destination path;                      // two parts or more
    std::vector<std::string> incarnations; // names of the engines of the path, in order
    std::function<stream_status()> status;
    // The first engine has accepted the path. The stream may be silent until quietUntil, while the
    // new engines read its tokens. The owner must not start a replacement for that silence before.
    std::function<void(const destination &path, time_point quietUntil)> onMoved;
    // An order has been sent. The owner must not start a replacement before the given time.
    std::function<void(time_point holdUntil)> onOrdered;
    // The path cannot change, or the order had no effect as far as is known. If isLost, an engine
    // of the path is known to be lost, so that the owner should start a replacement now, if it may.
    std::function<void(bool isLost)> onNotMoved;
};

// Not thread-safe.
class running_streams
{
public:
    // In the order in which they began.
    const std::map<int, running_stream> &all() const { return m_streams; }
    // Returns null if the stream has ended.
    running_stream *find(int number);

private:
    friend class running_stream_entry;

    std::map<int, running_stream> m_streams;
    int m_lastNumber = 0;
};

// Lists one stream while this object lives.
class running_stream_entry
{
public:
    running_stream_entry(running_streams &streams, running_stream stream);
    ~running_stream_entry();
    running_stream_entry(const running_stream_entry &) = delete;
    running_stream_entry &operator=(const running_stream_entry &) = delete;

private:
    running_streams &m_streams;
    const int m_number;
};

} // namespace fescuedeck

#endif
