// Runs a fuzz target on the given files and on a fixed number of mutations of each, so that the corpus serves as a
// regression test in builds without libFuzzer. Fails also if one input takes too much memory or time.

#include "fuzz/target.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <sys/resource.h>

namespace
{

constexpr int MutationsPerInput = 200;
constexpr std::uint32_t MaxChanges = 4; ///< Of one mutation.

// A quarter of the memory that the smallest platform gives a manager.
constexpr long MaxKibibytes = 64L * 1024;
// Callers of a manager try another one after this time.
constexpr long MaxMilliseconds = 1'000;
#ifdef __SANITIZE_ADDRESS__
constexpr bool ChecksCost = false; // Freed memory is kept.
#else
constexpr bool ChecksCost = true;
#endif

long milliseconds(const timeval &time)
{
    return time.tv_sec * 1'000 + time.tv_usec / 1'000;
}

rusage usage()
{
    rusage found{};
    getrusage(RUSAGE_SELF, &found);
    return found;
}

void run(const std::string &bytes)
{
    const rusage before = usage();
    // NOLINTNEXTLINE: fuzz targets take unsigned bytes
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    const rusage after = usage();
    const long kibibytes = after.ru_maxrss - before.ru_maxrss;
    const long used = milliseconds(after.ru_utime) - milliseconds(before.ru_utime);
    if (ChecksCost && (kibibytes > MaxKibibytes || used > MaxMilliseconds)) {
        std::fprintf(stderr, "an input of %zu bytes takes %ld KiB and %ld ms\n", bytes.size(), kibibytes, used);
        std::abort();
    }
}

/// Inserts, repeats, removes and overwrites bytes, and inserts what parsers often fail on.
std::string mutate(std::string bytes, std::mt19937 &random)
{
    static const std::array<std::string, 9> fragments{"-1",
                                                      "4294967296",
                                                      "18446744073709551616",
                                                      "1e308",
                                                      "null",
                                                      "65536",
                                                      std::string(100'000, '['),
                                                      std::string(4'000'000, '['),
                                                      std::string("\xff\0\"", 3)};
    const std::uint32_t changes = 1 + random() % MaxChanges;
    for (std::uint32_t change = 0; change < changes; ++change) {
        const std::size_t at = random() % (bytes.size() + 1);
        const std::size_t length = random() % 8;
        switch (random() % 5) {
        case 0:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, 4 * length));
            break;
        case 3:
            bytes.replace(at, length, fragments[random() % fragments.size()]);
            break;
        default:
            if (at < bytes.size()) {
                bytes[at] = static_cast<char>(random());
            }
        }
    }
    return bytes;
}

} // namespace

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
        run(bytes);
        std::mt19937 random; // The default seed, so that each run has the same inputs.
        for (int mutation = 0; mutation < MutationsPerInput; ++mutation) {
            run(mutate(bytes, random));
        }
    }
    return count > 1 ? 0 : 2;
}
