#include "internal/svg_plot.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace chivecrank::objectives::internal {
namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 200;
constexpr double kLeft = 56;
constexpr double kRight = 16;
constexpr double kTop = 28;
constexpr double kBottom = 28;
constexpr double kHeadroom = 1.1;
constexpr int kGridLines = 4;
constexpr double kMillisecondsPerMinute = 60'000;

/// Maps times and values to SVG coordinates.
struct plot_scale {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 1;
  double max_value = 1;

  double X(std::int64_t at_ms) const {
    const double share =
        static_cast<double>(at_ms - from_ms) /
        static_cast<double>(std::max<std::int64_t>(1, to_ms - from_ms));
    return kLeft + share * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    return kHeight - kBottom - value / max_value * (kHeight - kTop - kBottom);
  }
};

plot_scale ScaleOf(const plot_options& options,
                   const std::vector<plot_point>& points) {
  plot_scale scale;
  scale.max_value = std::max(options.mark, 0.0);
  if (!points.empty()) {
    scale.from_ms = points.front().at_ms;
    scale.to_ms = points.back().at_ms;
  }
  for (const plot_point& point : points)
    scale.max_value = std::max(scale.max_value, point.value);
  scale.max_value = scale.max_value > 0 ? scale.max_value * kHeadroom : 1;
  return scale;
}

void AppendGrid(const plot_scale& scale, std::ostringstream& svg) {
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = scale.max_value * i / kGridLines;
    const double y = scale.Y(value);
    svg << "<line x1='" << kLeft << "' x2='" << kWidth - kRight << "' y1='" << y
        << "' y2='" << y << "' stroke='#ddd'/>"
        << "<text x='" << kLeft - 6 << "' y='" << y + 4
        << "' text-anchor='end'>" << value << "</text>";
  }
}

void AppendTimes(const plot_scale& scale, std::ostringstream& svg) {
  const double span =
      static_cast<double>(scale.to_ms - scale.from_ms) / kMillisecondsPerMinute;
  svg << "<text x='" << kLeft << "' y='" << kHeight - 8 << "'>-" << span
      << " min</text><text x='" << kWidth - kRight << "' y='" << kHeight - 8
      << "' text-anchor='end'>end</text>";
}

}  // namespace

std::string SvgPlot(const plot_options& options,
                    const std::vector<plot_point>& points) {
  const plot_scale scale = ScaleOf(options, points);
  std::ostringstream svg;
  svg << std::fixed << std::setprecision(1);
  svg << "<svg viewBox='0 0 " << kWidth << " " << kHeight
      << "' role='img' aria-label='" << options.title << "'>"
      << "<text x='" << kLeft << "' y='16' font-weight='bold'>" << options.title
      << " (" << options.unit << ")</text>";
  AppendGrid(scale, svg);
  AppendTimes(scale, svg);
  if (options.mark >= 0) {
    svg << "<line x1='" << kLeft << "' x2='" << kWidth - kRight << "' y1='"
        << scale.Y(options.mark) << "' y2='" << scale.Y(options.mark)
        << "' stroke='#b03030' stroke-dasharray='6 4'/>";
  }
  svg << "<polyline fill='none' stroke-width='2' stroke='" << options.colour
      << "' points='";
  for (const plot_point& point : points)
    svg << scale.X(point.at_ms) << "," << scale.Y(point.value) << " ";
  svg << "'/></svg>\n";
  return svg.str();
}

}  // namespace chivecrank::objectives::internal
