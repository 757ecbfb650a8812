#include "daemon/daemon.h"
#include "yw_store/store_service.h"

int main(int argc, char **argv)
{
    using namespace yuccawheel;
    const std::vector<daemon::Action> actions{
        {"form", "form a new cluster in an empty data folder and exit; run it once, on one VM", store::formCluster}};
    return daemon::run(
        argc,
        argv,
        settings::Program::Store,
        "yw-store",
        [](daemon::Context &context) { return std::make_unique<store::StoreService>(context); },
        actions);
}
