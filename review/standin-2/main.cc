// Plays one case of the review: the platform and the clients in this process, the gateways and the
// replicas as processes of their own.
//
//   standin SCENARIO --gateway FILE --folder DIR --record FILE --trouble 0|1
//
// Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
#include <iostream>

#include "scenarios.h"

namespace {

int runReplica(char **argv)
{
    standin::replica_settings settings;
    settings.id = argv[2];
    settings.service = argv[3];
    settings.zone = argv[4];
    settings.record = argv[5];
    settings.port = std::atoi(argv[6]);
    settings.storePort = std::atoi(argv[7]);
    settings.slots = std::atoi(argv[8]);
    settings.queue = std::atoi(argv[9]);
    settings.workMs = std::atof(argv[10]);
    settings.from = std::atoi(argv[11]);
    settings.to = std::atoi(argv[12]);
    settings.events = std::atoi(argv[13]);
    settings.lostShare = std::atof(argv[14]);
    settings.writeMs = std::atof(argv[15]);
    return standin::replica(settings).run();
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc == 16 && std::string(argv[1]) == "replica")
        return runReplica(argv);
    std::string gateway, folder = ".", record = "record.txt", trouble = "1";
    for (int i = 2; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--gateway")
            gateway = argv[i + 1];
        else if (name == "--folder")
            folder = argv[i + 1];
        else if (name == "--record")
            record = argv[i + 1];
        else if (name == "--trouble")
            trouble = argv[i + 1];
    }
    const std::map<std::string, standin::scenario> scenarios = standin::allScenarios();
    const auto found = argc < 2 ? scenarios.end() : scenarios.find(argv[1]);
    if (found == scenarios.end() || gateway.empty()) {
        std::cerr << "usage: standin SCENARIO --gateway FILE --folder DIR --record FILE --trouble "
                     "0|1\n";
        return 2;
    }
    char self[4096];
    const ssize_t size = ::readlink("/proc/self/exe", self, sizeof(self));
    standin::deployment platform(folder, record, gateway,
                                 std::string(self, static_cast<std::size_t>(size)));
    const int status = found->second(platform, trouble != "0");
    platform.endAll();
    std::cout << "exit status " << status << std::endl;
    std::_Exit(status); // threads of the stand-ins still run
}
