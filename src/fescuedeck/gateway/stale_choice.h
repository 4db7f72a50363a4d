// Chooses among candidates whose loads are known only as they were some time ago.
//
// Gateways that have the same figures would all choose the least loaded candidate until the next
// figures arrive. The rule therefore assumes that the work which the other gateways have begun
// since then went to the least loaded candidates until these were even, and chooses each candidate
// in proportion to what it got of that work (M. Dahlin, "Interpreting stale load information",
// 2000). With fresh figures there is no such work and the least loaded candidate is chosen; with
// old ones the choice is in proportion to the free capacity below a common level.
//
// All functions are pure.
#ifndef FESCUEDECK_GATEWAY_STALE_CHOICE_H
#define FESCUEDECK_GATEWAY_STALE_CHOICE_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fescuedeck {

struct choice_candidate
{
    double load = 0;
    double capacity = 1; // in the unit of the load, greater than 0
};

// Returns the load per capacity to which the given work raises the least loaded candidates if they
// are filled evenly. candidates must not be empty.
double fillLevel(const std::vector<choice_candidate> &candidates, double work);

// Returns the index of the chosen candidate; without unseen work, the first one with the least load
// per capacity. unseenWork is what others have begun since their figures, in the unit of the load.
// The same hash gives the same choice. candidates must not be empty.
std::size_t chooseByStaleLoad(const std::vector<choice_candidate> &candidates, double unseenWork,
                              std::uint64_t requestHash);

// Returns the part of the unseen work over which choices spread. A gateway knows its own choices at
// once. If it has half of all work or more, it keeps the loads even better by choosing the least
// loaded candidate than by a draw, so the part is 0; it grows to 1 as the own part vanishes.
double spreadPart(double ownWork, double peerWork);

// Returns an amount between 0 and spread that depends on the candidate and the request only. Added
// to the loads of candidates that are not chosen one by one, like the engines of a chain, it has
// requests prefer different ones of those whose loads differ by less than the spread.
double loadOffset(std::string_view candidate, double spread, std::uint64_t requestHash);

} // namespace fescuedeck

#endif
