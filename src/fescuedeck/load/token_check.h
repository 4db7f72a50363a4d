// Detects duplicate and missing tokens in streamed drafts.
//
// Models answer the same prompt with the same tokens, so the first complete stream of a prompt is
// the reference for the later ones.
#ifndef FESCUEDECK_LOAD_TOKEN_CHECK_H
#define FESCUEDECK_LOAD_TOKEN_CHECK_H

#include <map>
#include <string>
#include <vector>

namespace fescuedeck {

struct token_difference
{
    int duplicate = 0; // received tokens that the reference does not have at this place
    int missing = 0;   // tokens of the reference that were not received
};

// By the longest common subsequence. Streams of the same text that are cut into other parts are
// equal.
token_difference compareTokens(const std::vector<std::string> &reference,
                               const std::vector<std::string> &received);

// Not thread-safe.
class token_references
{
public:
    // Compares a complete stream with the prompt's reference, or makes it the reference.
    token_difference check(const std::string &prompt, const std::vector<std::string> &received);
    // Sets a reference from another source.
    void setReference(const std::string &prompt, std::vector<std::string> tokens);

private:
    std::map<std::string, std::vector<std::string>> m_references;
};

} // namespace fescuedeck

#endif
