#include "fescuedeck/gateway/stale_choice.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// Differs from the seeds with which the hash of a request is used elsewhere.
constexpr std::uint64_t drawSeed = 0x6c6f6164;

double shareOf(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: the precision of a double
    return static_cast<double>(hash >> 11U) * scale;
}

double fillOf(const choice_candidate &candidate)
{
    return candidate.load / candidate.capacity;
}

std::size_t leastLoaded(const std::vector<choice_candidate> &candidates)
{
    const auto least = std::min_element(candidates.begin(), candidates.end(),
                                        [](const choice_candidate &a, const choice_candidate &b) {
                                            return fillOf(a) < fillOf(b);
                                        });
    return static_cast<std::size_t>(least - candidates.begin());
}

} // namespace

double fillLevel(const std::vector<choice_candidate> &candidates, double work)
{
    std::vector<choice_candidate> sorted = candidates;
    std::sort(sorted.begin(), sorted.end(),
              [](const choice_candidate &a, const choice_candidate &b) {
                  return fillOf(a) < fillOf(b);
              });
    double load = work;
    double capacity = 0;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        load += sorted[i].load;
        capacity += sorted[i].capacity;
        const double level = load / capacity;
        if (i + 1 == sorted.size() || level <= fillOf(sorted[i + 1]))
            return level;
    }
    return 0;
}

std::size_t chooseByStaleLoad(const std::vector<choice_candidate> &candidates, double unseenWork,
                              std::uint64_t requestHash)
{
    if (unseenWork <= 0)
        return leastLoaded(candidates);
    const double level = fillLevel(candidates, unseenWork);
    const auto room = [level](const choice_candidate &candidate) {
        return std::max(0.0, level * candidate.capacity - candidate.load);
    };
    double total = 0;
    for (const choice_candidate &candidate : candidates)
        total += room(candidate);
    double draw = total * shareOf(stableHash("choice", requestHash ^ drawSeed));
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        draw -= room(candidates[i]);
        if (draw < 0)
            return i;
    }
    return leastLoaded(candidates);
}

double spreadPart(double ownWork, double peerWork)
{
    const double total = ownWork + peerWork;
    return total <= 0 ? 0 : std::max(0.0, 1 - 2 * ownWork / total);
}

double loadOffset(std::string_view candidate, double spread, std::uint64_t requestHash)
{
    return spread <= 0 ? 0 : spread * shareOf(stableHash(candidate, requestHash ^ drawSeed));
}

} // namespace fescuedeck
