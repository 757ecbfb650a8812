#include "daemon/daemon.h"
#include "yw_gateway/gateway_service.h"

int main(int argc, char **argv)
{
    using namespace yuccawheel;
    return daemon::run(argc, argv, settings::Program::Gateway, "yw-gateway", [](daemon::Context &context) {
        return std::make_unique<gateway::GatewayService>(context);
    });
}
