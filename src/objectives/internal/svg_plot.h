#ifndef CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_
#define CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chivecrank::objectives::internal {

/// One value of a plot over time.
struct plot_point {
  std::int64_t at_ms = 0;
  double value = 0;
};

/// What a plot shows.
struct plot_options {
  std::string title;
  std::string unit;
  /// A horizontal line, such as the burn rate 1; none when negative.
  double mark = -1;
  /// CSS colour of the line.
  std::string colour = "#1f5f8b";
};

/// A line plot as an inline SVG element.
std::string SvgPlot(const plot_options& options,
                    const std::vector<plot_point>& points);

}  // namespace chivecrank::objectives::internal

#endif  // CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_
