#include "fescuedeck/admission/answer_length.h"

#include <cmath>
#include <random>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr double usual = 138;
constexpr double tokensInEvent = 2;

answer_request requestOn(const std::string &route, std::optional<double> hint = std::nullopt)
{
    return { "chat", route, hint, 1000, usual };
}

// How hints miss: a factor with a median of 1.
struct hint_kind
{
    const char *name;
    double sigma;    // of the logarithm of the usual factor
    double farShare; // share of the hints with a far larger error
};

struct table_row
{
    const char *name;
    double routeMean; // of the answer tokens
    std::optional<hint_kind> hints;
};

struct errors
{
    double constant = 0;
    double hintAlone = 0;
    double predicted = 0;
};

// Mean absolute errors relative to the mean length, after the first 200 answers. Lengths spread
// evenly by 0.7 to 1.5 of the mean. Half of the answers are on another route, with which the mean
// of the service is the usual answer.
errors measure(const table_row &row)
{
    constexpr double farSigma = 1.5;
    constexpr int warmUp = 200;
    constexpr int answers = 4000;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::normal_distribution<double> normal;
    answer_length lengths;
    errors found;
    for (int i = 0; i < warmUp + answers; ++i) {
        const double spread = (0.7 + 0.8 * uniform(random)) / 1.1;
        lengths.record(requestOn("other"), spread * (2 * usual - row.routeMean) / tokensInEvent);
        const double tokens = (0.7 + 0.8 * uniform(random)) / 1.1 * row.routeMean;
        answer_request request = requestOn("route");
        if (row.hints) {
            const bool isFar = uniform(random) < row.hints->farShare;
            const double sigma = isFar ? farSigma : row.hints->sigma;
            request.hint = tokens * std::exp(sigma * normal(random));
        }
        if (i >= warmUp) {
            const double scale = 1 / (answers * row.routeMean);
            found.constant += std::abs(usual - tokens) * scale;
            found.hintAlone += std::abs(request.hint.value_or(usual) - tokens) * scale;
            found.predicted += std::abs(lengths.predict(request) - tokens) * scale;
        }
        lengths.record(request, tokens / tokensInEvent);
    }
    return found;
}

} // namespace

// Guards against a prediction that is worse than the constant it replaces, or than a client's hint
// that is far off. Prints the table of docs/design/even-load.md with -s.
TEST_CASE("answer length: routes with short, usual and long answers and hints of each quality",
          "[load]")
{
    const table_row row = GENERATE(
            table_row{ "usual, no hints", 138, std::nullopt },
            table_row{ "short, no hints", 60, std::nullopt },
            table_row{ "long, no hints", 216, std::nullopt },
            table_row{ "usual, hints good", 138, hint_kind{ "good", 0.1, 0 } },
            table_row{ "usual, 4 in 10 hints far off", 138, hint_kind{ "mixed", 0.1, 0.4 } },
            table_row{ "usual, hints far off", 138, hint_kind{ "far", 1, 0 } },
            table_row{ "short, 4 in 10 hints far off", 60, hint_kind{ "mixed", 0.1, 0.4 } });
    const errors found = measure(row);
    CAPTURE(row.name, found.constant, found.hintAlone, found.predicted);
    // The mean of a route that is learned varies by about a hundredth.
    CHECK(found.predicted < found.constant + 0.01);
    if (row.hints && row.hints->sigma < 1)
        CHECK(found.predicted < 0.9 * found.constant);
    if (row.hints && (row.hints->farShare > 0 || row.hints->sigma >= 1))
        CHECK(found.predicted < found.hintAlone);
    if (row.routeMean != usual)
        CHECK(found.predicted < 0.5 * found.constant);
}

// Guards against admission that changes before there is anything to go by.
TEST_CASE("answer length: a gateway that has just started; the usual answer, at most the maximum",
          "[load]")
{
    const answer_length lengths;
    CHECK(lengths.predict(requestOn("route")) == usual);
    CHECK(lengths.predict({ "chat", "route", {}, 50, usual }) == 50);
    CHECK(lengths.predict(requestOn("route", 0)) == usual);
    const double hinted = lengths.predict(requestOn("route", 1000));
    CHECK(hinted > usual);
    CHECK(hinted < 1.5 * usual);
}

// Guards against clients whose hints are all far too high, so that the gateway refuses requests
// although the caches are empty.
TEST_CASE("answer length: all hints ten times too high; no more than twice the usual answer",
          "[load]")
{
    answer_length lengths;
    for (int i = 0; i < 1000; ++i)
        lengths.record(requestOn("route", 10 * usual), usual / tokensInEvent);
    CHECK(lengths.predict(requestOn("route", 10 * usual)) <= 2.01 * usual);
    CHECK(lengths.predict(requestOn("route")) <= 2.01 * usual);
}

TEST_CASE("answer length: a stream that outgrows its prediction; the prediction follows", "[load]")
{
    answer_length lengths;
    for (int i = 0; i < 100; ++i)
        lengths.record(requestOn("route"), usual / tokensInEvent);
    const answer_request request = requestOn("route");
    const double first = lengths.predict(request);
    CHECK(first == Approx(usual));
    CHECK(lengths.predictGrown(request, first, 10) == first);
    CHECK(lengths.predictGrown(request, first, 60) > first);
    const double longer = lengths.predictGrown(request, first, 120);
    CHECK(longer >= 240);
    CHECK(longer < 300);
    CHECK(lengths.predictGrown({ "chat", "route", {}, 250, usual }, first, 124) <= 250);
}

} // namespace fescuedeck
