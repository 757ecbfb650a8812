// Runs a fuzz target on the files given, so that the inputs once found stay tests where libFuzzer is not at hand.

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
            std::fprintf(stderr, "%s: cannot be read\n", arguments[i]);
            return 2;
        }
        const std::string bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        std::fprintf(stderr, "%s\n", arguments[i]);
        // NOLINTNEXTLINE: a target takes bytes
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    }
    return count > 1 ? 0 : 2;
}
