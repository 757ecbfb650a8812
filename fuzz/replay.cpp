// Runs a fuzz target on the given files, so that the corpus serves as a regression test in builds without libFuzzer.

#include "fuzz/target.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

int main(int count, char **arguments)
{
    for (int i = 1; i < count; ++i) {
        std::ifstream file(arguments[i], std::ios::binary);
        if (!file) {
            std::fprintf(stderr, "%s: file cannot be read\n", arguments[i]);
            return 2;
        }
        const std::string bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        std::fprintf(stderr, "%s\n", arguments[i]);
        // NOLINTNEXTLINE: fuzz targets take unsigned bytes
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    }
    return count > 1 ? 0 : 2;
}
