#include "daemon/daemon.h"
#include "yw_manager/manager_service.h"

int main(int argc, char **argv)
{
    using namespace yuccawheel;
    return daemon::run(argc, argv, settings::Program::Manager, "yw-manager", [](daemon::Context &context) {
        return std::make_unique<manager::ManagerService>(context);
    });
}
