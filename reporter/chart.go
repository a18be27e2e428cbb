package reporter

import (
	"fmt"
	"strconv"
	"strings"
)

// The size and the margins of a plot, in units of the SVG view box.
const (
	chartWidth  = 320.0
	chartHeight = 96.0
	chartLeft   = 30.0
	chartBottom = 16.0
	chartTop    = 6.0
	// minScale is the lowest burn rate at the top of a plot. It keeps a burn rate
	// of 1 visible in every plot.
	minScale = 2.0
	// headroom is the ratio of the top of a plot to its highest value.
	headroom = 1.15
	// labelHeight is the height of a label, in units of the view box.
	labelHeight = 9.0
)

// chartLine is a horizontal line of a plot with its label.
type chartLine struct {
	Y     string
	Label string
	Class string
}

// chart is the layout of a plot as the HTML template draws it. Coordinates are in units
// of the view box.
type chart struct {
	Title  string
	Line   string // points of the polyline, "x,y" separated by spaces
	Area   string // points of the polygon under it
	Lines  []chartLine
	From   string // label of the first point in time
	To     string // label of the last point in time
	Left   float64
	Right  float64
	Base   float64 // y of the value 0
	Bottom float64 // y of the labels From and To
	Width  float64
	Height float64
}

// newChart lays out the burn rate of a status over time, with horizontal lines at 0, at
// 1, at the threshold of the first alert and at the highest value. Without an error
// budget the values are numbers of bad events, and the lines at 1 and at the threshold
// are left out.
func newChart(s Status) chart {
	c := chart{
		Left:   chartLeft,
		Right:  chartWidth - 2,
		Base:   chartHeight - chartBottom,
		Bottom: chartHeight - 4,
		Width:  chartWidth,
		Height: chartHeight,
	}
	top := minScale
	for _, p := range s.Plot {
		top = max(top, p.Burn*headroom)
	}
	c.Title = chartTitle(s)
	c.addLine(0, top, "0", "axis")
	if s.Objective.Target < 1 {
		c.addLine(1, top, "1", "pace")
		if threshold := s.Burns[0].Alert.Threshold; threshold <= top {
			c.addLine(threshold, top, formatScale(threshold), "alert")
		}
	}
	if highest := top / headroom; highest > minScale {
		c.addLine(highest, top, formatScale(highest), "grid")
	}
	c.addPlot(s.Plot, top)
	return c
}

func chartTitle(s Status) string {
	window := s.Burns[0].Alert.Long
	if s.Objective.Target >= 1 {
		return fmt.Sprintf("Bad events of %s in %s", s.Service, window)
	}
	return fmt.Sprintf("Burn rate of %s over %s: %s", s.Service, window, s.Objective.Description)
}

// y returns the y coordinate of a value, where top is the value at the top of the plot.
func (c *chart) y(value, top float64) float64 {
	return c.Base - (c.Base-chartTop)*value/top
}

// addLine adds a horizontal line. A line less than labelHeight above the axis gets no
// label, since it would overlap the label of the axis.
func (c *chart) addLine(value, top float64, label, class string) {
	if y := c.y(value, top); value > 0 && c.Base-y < labelHeight {
		label = ""
	}
	c.Lines = append(c.Lines, chartLine{Y: coordinate(c.y(value, top)), Label: label, Class: class})
}

// addPlot sets the polyline and the polygon of the points, spread over the width of the
// plot by their time.
func (c *chart) addPlot(points []Point, top float64) {
	if len(points) == 0 {
		return
	}
	first, last := points[0].Time, points[len(points)-1].Time
	span := last.Sub(first).Seconds()
	coordinates := make([]string, 0, len(points))
	x := c.Left
	for _, p := range points {
		if span > 0 {
			x = c.Left + (c.Right-c.Left)*p.Time.Sub(first).Seconds()/span
		}
		coordinates = append(coordinates, coordinate(x)+","+coordinate(c.y(p.Burn, top)))
	}
	c.Line = strings.Join(coordinates, " ")
	base := coordinate(c.Base)
	c.Area = coordinate(c.Left) + "," + base + " " + c.Line + " " + coordinate(x) + "," + base
	const layout = "2 Jan 15:04"
	c.From = first.UTC().Format(layout)
	c.To = last.UTC().Format(layout)
}

func coordinate(v float64) string {
	return strconv.FormatFloat(v, 'f', 1, 64)
}

func formatScale(v float64) string {
	return strconv.FormatFloat(v, 'g', 3, 64)
}
