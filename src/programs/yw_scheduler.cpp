#include "daemon/daemon.h"
#include "yw_scheduler/scheduler_service.h"

int main(int argc, char **argv)
{
    using namespace yuccawheel;
    return daemon::run(argc, argv, settings::Program::Scheduler, "yw-scheduler", [](daemon::Context &context) {
        return std::make_unique<scheduler::SchedulerService>(context);
    });
}
