# CMake package of the coordination libraries: find_package(yuccawheel) defines the target yuccawheel::coordination.
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(fmt)
include(${CMAKE_CURRENT_LIST_DIR}/yuccawheel-targets.cmake)
