#include "bench/process_usage.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <vector>

namespace waxwing {
namespace {

constexpr int repetitions = 5;

} // namespace

std::size_t usedBytes()
{
    return mallinfo2().uordblks;
}

double processorMicroseconds(const std::function<void()> &work)
{
    timespec begin{};
    timespec end{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    work();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    return static_cast<double>(end.tv_sec - begin.tv_sec) * 1e6
        + static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e3;
}

double medianOf(const std::function<double()> &measure)
{
    std::vector<double> values;
    values.reserve(repetitions);
    for (int i = 0; i < repetitions; ++i)
        values.push_back(measure());
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace waxwing
