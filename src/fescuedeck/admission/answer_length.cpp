#include "fescuedeck/admission/answer_length.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

// The usual answer counts as much as this number of answers of a route. Answers spread by 0.7
// to 1.5 of their mean, so the mean of this many is known to about a twentieth.
constexpr int priorSamples = 20;
// Answers further back than about this number count little, so that a change of use is followed.
constexpr int memorySamples = 400;
// Errors assumed before records show them, relative to the usual answer: a quarter for the mean of
// answers that spread by 0.7 to 1.5, the whole answer for hints, which are often far off.
constexpr double priorMeanError = 0.25;
constexpr double priorHintError = 1;
// Steps of the running median of tokens per event; the first are larger, to arrive quickly.
constexpr double medianStep = 0.01;
constexpr int firstMedianSteps = 20;
// Hints that put the mean answer of a service further from the usual one than this factor are not
// trusted: they would change how many requests are admitted.
constexpr double maxDeviation = 2;
// How far beyond the answers seen a hint may lie.
constexpr double plausibleMargin = 0.15;
// Answers are at most about this many times the expected length.
constexpr double longestShare = 1.4;

std::string routeKey(const answer_request &request)
{
    return request.service + '\n' + request.route;
}

double weightOf(int samples, int prior)
{
    return 1.0 / std::min(samples + prior, memorySamples);
}

void addSquare(double &mean, double error, double weight)
{
    mean += weight * (error * error - mean);
}

} // namespace

double answer_length::tokensPerEvent(const answer_request &request) const
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || found->second.meanEvents <= 0)
        return 0;
    const service_answers &seen = found->second;
    const double usual = request.usualTokens / seen.meanEvents;
    if (seen.hints >= priorSamples)
        return std::clamp(seen.tokensPerEvent, usual / maxDeviation, usual * maxDeviation);
    return seen.samples >= priorSamples ? usual : 0;
}

void answer_length::recordCalibration(const answer_request &request, double events)
{
    service_answers &seen = m_services[request.service];
    ++seen.samples;
    seen.meanEvents += weightOf(seen.samples, 0) * (events - seen.meanEvents);
    if (!request.hint || *request.hint < 1)
        return;
    const double ratio = *request.hint / events;
    const double step = seen.hints < firstMedianSteps ? 5 * medianStep : medianStep;
    ++seen.hints;
    if (seen.tokensPerEvent <= 0)
        seen.tokensPerEvent = request.usualTokens / seen.meanEvents;
    seen.tokensPerEvent *= ratio > seen.tokensPerEvent ? 1 + step : 1 / (1 + step);
}

bool answer_length::isPlausible(double hint, const route_answers &seen)
{
    if (hint < 1)
        return false;
    if (seen.samples < priorSamples)
        return true;
    return hint >= seen.shortest * (1 - plausibleMargin)
           && hint <= seen.longest * (1 + plausibleMargin);
}

void answer_length::recordRoute(route_answers &seen, const answer_request &request, double tokens)
{
    if (seen.samples == 0) {
        seen.mean = request.usualTokens;
        seen.shortest = tokens;
        seen.longest = tokens;
        seen.meanError = std::pow(priorMeanError * request.usualTokens, 2);
        seen.hintError = std::pow(priorHintError * request.usualTokens, 2);
    }
    addSquare(seen.meanError, tokens - seen.mean, weightOf(seen.samples, priorSamples));
    if (request.hint && isPlausible(*request.hint, seen)) {
        const double hint = std::min(*request.hint, std::max(request.maxTokens, tokens));
        addSquare(seen.hintError, tokens - hint, weightOf(seen.hints, priorSamples));
        ++seen.hints;
    }
    // The bounds return slowly, so that one odd answer does not widen them for ever.
    const double weight = 1.0 / memorySamples;
    seen.shortest = std::min(tokens, seen.shortest + weight * (seen.mean - seen.shortest));
    seen.longest = std::max(tokens, seen.longest + weight * (seen.mean - seen.longest));
    ++seen.samples;
    seen.mean += weightOf(seen.samples, priorSamples) * (tokens - seen.mean);
}

void answer_length::record(const answer_request &request, double events)
{
    if (events < 1 || request.usualTokens <= 0)
        return;
    recordCalibration(request, events);
    const double perEvent = tokensPerEvent(request);
    if (perEvent > 0)
        recordRoute(m_routes[routeKey(request)], request, events * perEvent);
}

double answer_length::predict(const answer_request &request) const
{
    route_answers seen;
    seen.mean = request.usualTokens;
    seen.meanError = std::pow(priorMeanError, 2);
    seen.hintError = std::pow(priorHintError, 2);
    const auto found = m_routes.find(routeKey(request));
    if (found != m_routes.end())
        seen = found->second;
    double expected = seen.mean;
    if (request.hint && isPlausible(*request.hint, seen)) {
        const double hint = std::min(*request.hint, request.maxTokens);
        const double weight = seen.meanError / std::max(1e-9, seen.meanError + seen.hintError);
        expected += weight * (hint - expected);
    }
    return std::min(request.maxTokens, expected);
}

double answer_length::predictGrown(const answer_request &request, double prediction,
                                   double events) const
{
    const double tokens = events * tokensPerEvent(request);
    // The mean of lengths between those so far and the longest that are usual.
    const double grown = (tokens + std::max(tokens, longestShare * prediction)) / 2;
    const bool isLong = tokens > (2 - longestShare) * prediction;
    return std::max(prediction, isLong ? std::min(request.maxTokens, grown) : prediction);
}

} // namespace fescuedeck
