#include "fescuedeck/ctl/command_line.h"

#include <algorithm>
#include <set>

namespace fescuedeck {
namespace {

constexpr const char *exitStatusHelp = "Exit status: 0 done, 1 refused or failed, 2 wrong usage, 3 "
                                       "the log or a router does not\n"
                                       "answer, 4 superseded by another bundle.\n";

failure usageFailure(const std::string &problem)
{
    return makeFailure(errc::InvalidRequest, problem);
}

// Flags of every command.
bool isGeneralFlag(const std::string &name)
{
    return name == "help" || name == "output" || name == "flagfile";
}

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

struct raw_arguments
{
    std::vector<std::string> words;
    std::set<std::string> flags; // given
};

// Reads the flag at args[i]; i moves to its last argument.
result<void> readFlag(const std::vector<std::string> &args, std::size_t &i,
                      const flag_registry &flags, raw_arguments &raw)
{
    std::string name = args[i].substr(args[i].find_first_not_of('-'));
    std::optional<std::string> value;
    if (const std::size_t equals = name.find('='); equals != std::string::npos) {
        value = name.substr(equals + 1);
        name.resize(equals);
    }
    std::replace(name.begin(), name.end(), '-', '_');
    const bool isNegated = !value && flags.typeOf(name).empty() && name.substr(0, 2) == "no"
                           && flags.typeOf(name.substr(2)) == "bool";
    if (isNegated) {
        name = name.substr(2);
        value = "false";
    }
    const std::string type = flags.typeOf(name);
    if (type.empty())
        return usageFailure("unknown flag --" + name);
    if (!value && type == "bool")
        value = "true";
    if (!value && ++i == args.size())
        return usageFailure("flag --" + name + " needs a value");
    if (!flags.set(name, value ? *value : args[i]))
        return usageFailure("flag --" + name + " does not take the value "
                            + (value ? *value : args[i]));
    raw.flags.insert(name);
    return boost::outcome_v2::success();
}

result<raw_arguments> readArguments(const std::vector<std::string> &args,
                                    const flag_registry &flags)
{
    raw_arguments raw;
    bool flagsEnded = false;
    for (std::size_t i = 0; i < args.size(); ++i) {
        const bool isFlag = !flagsEnded && args[i].size() > 1 && args[i].front() == '-';
        if (!isFlag) {
            raw.words.push_back(args[i]);
        } else if (args[i].find_first_not_of('-') == std::string::npos) {
            flagsEnded = true;
        } else if (const auto read = readFlag(args, i, flags, raw); !read) {
            return read.error();
        }
    }
    return raw;
}

const command_spec *findCommand(const std::string &name)
{
    for (const command_spec &command : commands()) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "--" : " or --") + name;
    return text;
}

result<void> checkFlags(const command_spec &command, const std::set<std::string> &given)
{
    for (const std::string &name : given) {
        if (!isGeneralFlag(name) && !contains(command.flags, name))
            return usageFailure("flag --" + name + " is not one of `" + command.name + "`");
    }
    const auto &required = command.requiredFlags;
    const bool hasRequired
            = required.empty()
              || std::any_of(required.begin(), required.end(),
                             [&](const std::string &name) { return given.count(name) != 0; });
    if (!hasRequired)
        return usageFailure("`" + command.name + "` needs " + joined(required));
    return boost::outcome_v2::success();
}

std::string usageLine(const command_spec &command)
{
    return "fescuedeckctl " + command.name
           + (command.argument.empty() ? "" : " " + command.argument)
           + (command.takesFiles ? " [FILE...]" : "");
}

} // namespace

const std::vector<command_spec> &commands()
{
    static const std::vector<command_spec> table = {
        { "key generate",
          "",
          "Makes an approver's key and writes it to a new file.",
          { "key_id", "key_file" },
          { "key_file" } },
        { "bundle check", "FILE", "Checks a bundle without publishing it.", {}, {} },
        { "bundle sign",
          "FILE",
          "Checks a bundle and prints an approver's signature of it, for --signature_file.",
          { "key_file" },
          { "key_file" } },
        { "bundle publish",
          "FILE",
          "Appends a bundle and its signature to the log and tells whether it came into force. "
          "With --wait, waits until every --router states it.",
          { "platform", "key_file", "signature_file", "approvers", "router", "wait", "timeout_ms" },
          { "key_file", "signature_file" } },
        { "bundle status",
          "",
          "Shows the bundle in force by the log and on each --router.",
          { "platform", "approvers", "router", "timeout_ms" },
          {} },
        { "host drain",
          "HOST",
          "Ends new work on a host. Tells each --router directly if the log does not answer.",
          { "platform", "router", "timeout_ms" },
          {} },
        { "host undrain",
          "HOST",
          "Permits new work on a drained host.",
          { "platform", "timeout_ms" },
          {} },
        { "host status",
          "",
          "Shows the hosts, which are drained, and how each --router sees them.",
          { "platform", "approvers", "router", "timeout_ms" },
          {} },
        { "trace show",
          "ID",
          "Shows the spans of a trace that the routers hold, as a tree.",
          { "router" },
          { "router" } },
        { "request explain",
          "ID",
          "Shows from gateways' logs what happened to a request, and why it ended as it did. Reads "
          "standard input if no file is given.",
          {},
          {},
          true },
    };
    return table;
}

result<command_line> parseCommandLine(const std::vector<std::string> &args,
                                      const flag_registry &flags)
{
    const auto raw = readArguments(args, flags);
    if (!raw)
        return raw.error();
    const std::vector<std::string> &words = raw.value().words;
    command_line line;
    line.wantsHelp = raw.value().flags.count("help") != 0;
    if (words.size() < 2) {
        if (line.wantsHelp)
            return line;
        return usageFailure("no command is given");
    }
    line.command = findCommand(words[0] + " " + words[1]);
    if (line.command == nullptr)
        return usageFailure("unknown command " + words[0] + " " + words[1]);
    if (line.wantsHelp)
        return line;
    const std::size_t expected = line.command->argument.empty() ? 2 : 3;
    const bool isComplete
            = line.command->takesFiles ? words.size() >= expected : words.size() == expected;
    if (!isComplete)
        return usageFailure("usage: " + usageLine(*line.command));
    if (const auto checked = checkFlags(*line.command, raw.value().flags); !checked)
        return checked.error();
    line.argument = expected == 3 ? words[2] : "";
    line.files.assign(words.begin() + static_cast<std::ptrdiff_t>(expected), words.end());
    return line;
}

std::string helpText(const command_spec *command, const flag_registry &flags)
{
    if (command == nullptr) {
        std::string text = "usage: fescuedeckctl COMMAND [--flag=value ...]\n\n";
        for (const command_spec &each : commands())
            text += usageLine(each) + "\n    " + each.summary + "\n";
        return text + "\n`fescuedeckctl COMMAND --help` lists the command's flags.\n\n"
               + exitStatusHelp;
    }
    std::string text = "usage: " + usageLine(*command) + " [--flag=value ...]\n\n"
                       + command->summary + "\n\n";
    std::vector<std::string> names = command->flags;
    names.emplace_back("output");
    for (const std::string &name : names)
        text += "  --" + name + "\n      " + flags.descriptionOf(name) + "\n";
    if (!command->requiredFlags.empty())
        text += "Required: " + joined(command->requiredFlags) + ".\n";
    return text + "\n" + exitStatusHelp;
}

} // namespace fescuedeck
