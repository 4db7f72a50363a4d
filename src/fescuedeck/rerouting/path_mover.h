// Orders changes of the paths of running streams when an engine of their chain is lost, leaving or
// stalled. A change keeps the attempt: it takes no retry, and only the new engines read the tokens
// again.
//
// What others must keep to:
// - While a stream has another open attempt (a replacement of a silent one), no change is ordered:
//   running_stream's status says so.
// - After an accepted change, no replacement starts before quietUntil (running_stream::onMoved).
// - A stream whose order was refused or got no usable answer gets no further order. Today's
//   replacement goes on for it, if the stream may be resumed. An order that is carried out late
//   then leads to events of the first attempt, or to none; the first attempt that delivers wins.
#ifndef FESCUEDECK_REROUTING_PATH_MOVER_H
#define FESCUEDECK_REROUTING_PATH_MOVER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/rerouting/chain_repair.h"
#include "fescuedeck/rerouting/path_change.h"

namespace fescuedeck {

// Why a path is changed.
enum class path_change_cause {
    Lost,          // an engine is known to be lost
    Leaving,       // an engine is shutting down
    LayersGivenUp, // an engine no longer announces the layers of its part
    Stalled,       // an engine probably stalls the stream
};

constexpr name_table<path_change_cause, 4> pathChangeCauseNames = { {
        { path_change_cause::Lost, "lost" },
        { path_change_cause::Leaving, "leaving" },
        { path_change_cause::LayersGivenUp, "layers_given_up" },
        { path_change_cause::Stalled, "stalled" },
} };

// A stream whose path should change.
struct move_candidate
{
    int number = 0; // in running_streams
    path_change_cause cause = path_change_cause::Lost;
    std::set<std::string> avoided; // ids of the engines to avoid
    duration timeLeft{};           // until the silence exceeds what callers accept
    int rank = 0;                  // 0 is the most urgent
    bool mayOrder = true;          // false if the first engine is lost: only a new run helps
};

// The stream that is nearest to its limit comes first; among equals, the most urgent one.
void sortByUrgency(std::vector<move_candidate> &candidates);

// Returns how many streams may move to the engine at once: half of the slots that are free, because
// other gateways choose the same engine, and at least one.
int maxMovesAtOnce(const endpoint_record &engine);

// Not thread-safe. Must outlive its io_context's run.
class path_mover
{
public:
    explicit path_mover(gateway_context &context);

    // Orders the changes that are due. Returns at once. Call it many times per second, whenever the
    // input that has arrived has been handled.
    void check();

private:
    struct move_state
    {
        int orders = 0;
        bool isPending = false;         // an order has no answer yet
        bool isClosed = false;          // the stream gets no further order
        bool isWithoutPath = false;     // was counted as such
        std::set<std::string> avoided;  // ids of engines that were not there or had no room
        std::set<std::string> newParts; // ids of engines that read the tokens now
        time_point plannedAt{};         // when no path was found last
        time_point orderedAt{};
        time_point acceptedAt{};
        time_point reportAskedAt{};
    };
    // An engine that an order named as not there or without room.
    struct unavailable_engine
    {
        time_point until{};
        bool isGone = false; // it was a part of the running path, which needs no new room
    };
    struct planned_move
    {
        destination path;
        std::set<std::string> newParts; // ids of engines
        double tokensReadAgain = 0;
        duration readTime{}; // expected
    };

    // Whether an engine may have been lost or a stream may be silent since the last check. Most
    // checks end here, because hosts have a small part of a core.
    bool mayHaveNews(time_point now);
    void updateMoves(time_point now);
    void updateSuspects(time_point now);
    std::vector<move_candidate> candidates(time_point now);
    std::optional<move_candidate> candidateOf(int number, const running_stream &stream,
                                              time_point now) const;
    // Asks first engines of silent streams which engine they wait for.
    void askForReports(time_point now);
    void startMove(const move_candidate &candidate);
    void sendOrders(const move_candidate &candidate, planned_move move,
                    boost::asio::yield_context yield);
    // Tells the owner of the stream that its path does not change.
    void reportNotMoved(const move_candidate &candidate);
    // Remembers for the next orders of all streams that the engine is not there or has no room.
    void recordUnavailable(const std::string &engine, bool isKeptPart);
    bool isUnavailable(const std::string &engine) const;
    // Whether the engine is known to be gone, although it is not marked as lost.
    bool isGone(const std::string &incarnation) const;
    // Returns whether another order may follow.
    bool evaluate(const move_candidate &candidate, const planned_move &move,
                  const path_change_answer &answer);
    void onAccepted(const move_candidate &candidate, const planned_move &move);
    path_change_answer sendOrder(const move_candidate &candidate, const planned_move &move,
                                 boost::asio::yield_context yield);
    std::optional<planned_move> plan(const move_candidate &candidate) const;
    std::optional<planned_move> makeMove(const running_stream &stream, chain_repair repair) const;
    std::vector<chain_stage> stagesWithRoom(const running_stream &stream,
                                            std::vector<chain_stage> stages) const;
    int movesTo(const std::string &engine) const;
    void count(path_change_cause cause, std::string_view outcome);

    gateway_context &m_context;
    std::map<int, move_state> m_moves; // by number of the stream
    // When each engine was last found to stall streams, by a guess; by id.
    std::map<std::string, time_point> m_suspects;
    std::set<std::string> m_doubtful;                        // ids of engines of silent streams
    std::uint64_t m_seenRevision = 0;                        // of the endpoints
    time_point m_checkUntil{};                               // in any case
    std::map<std::string, unavailable_engine> m_unavailable; // by incarnation
    std::set<std::string> m_unsupported; // incarnations of engines that know no path changes
};

} // namespace fescuedeck

#endif
