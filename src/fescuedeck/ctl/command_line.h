// Commands of fescuedeckctl, their flags and help texts, and the parser of its arguments.
#ifndef FESCUEDECK_CTL_COMMAND_LINE_H
#define FESCUEDECK_CTL_COMMAND_LINE_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

struct command_spec
{
    std::string name;     // two words
    std::string argument; // name of its positional argument; empty for none
    std::string summary;
    std::vector<std::string> flags;
    std::vector<std::string> requiredFlags; // of which one must be given
    bool takesFiles = false;                // any number of further positional arguments
};

const std::vector<command_spec> &commands();

// Access to the program's flags; filled with gflags functions.
struct flag_registry
{
    // "bool", "string", ...; empty for an unknown flag.
    std::function<std::string(const std::string &name)> typeOf;
    std::function<std::string(const std::string &name)> descriptionOf;
    // Returns false for a value that the flag does not take.
    std::function<bool(const std::string &name, const std::string &value)> set;
};

struct command_line
{
    const command_spec *command = nullptr; // null if help on all commands is wanted
    std::string argument;
    std::vector<std::string> files;
    bool wantsHelp = false;
};

// Sets the flags that args (without the program's name) give. Flags may stand anywhere and are
// written --name=value or --name value. The error is InvalidRequest.
result<command_line> parseCommandLine(const std::vector<std::string> &args,
                                      const flag_registry &flags);

// All commands if command is null.
std::string helpText(const command_spec *command, const flag_registry &flags);

} // namespace fescuedeck

#endif
