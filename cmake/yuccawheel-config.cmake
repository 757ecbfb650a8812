# Package of the coordination parts: find_package(yuccawheel) gives the target yuccawheel::coordination.
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(fmt)
include(${CMAKE_CURRENT_LIST_DIR}/yuccawheel-targets.cmake)
