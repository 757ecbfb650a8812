#include "daemon/daemon.h"
#include "yw_entry/entry_service.h"

int main(int argc, char **argv)
{
    using namespace yuccawheel;
    return daemon::run(argc, argv, settings::Program::Entry, "yw-entry", [](daemon::Context &context) {
        return std::make_unique<entry::EntryService>(context);
    });
}
