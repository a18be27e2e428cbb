package reporter

import (
	"fmt"
	"strconv"
	"strings"
)

// The size of a plot, in the units of its view box.
const (
	chartWidth  = 320.0
	chartHeight = 96.0
	chartLeft   = 30.0
	chartBottom = 16.0
	chartTop    = 6.0
	// minScale is the least burn rate at the top of a plot, so that a burn of
	// one always shows.
	minScale = 2.0
	// headroom is the space above the highest value, as a factor.
	headroom = 1.15
	// labelHeight is the height of a label.
	labelHeight = 9.0
)

// chartLine is a horizontal line of a plot with its label.
type chartLine struct {
	Y     string
	Label string
	Class string
}

// chart is a plot, laid out for the template.
type chart struct {
	Title  string
	Line   string // points of the polyline
	Area   string // points of the polygon under it
	Lines  []chartLine
	From   string
	To     string
	Left   float64
	Right  float64
	Base   float64
	Bottom float64
	Width  float64
	Height float64
}

// newChart lays out the burn rate of a status over time.
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

func (c *chart) y(value, top float64) float64 {
	return c.Base - (c.Base-chartTop)*value/top
}

// addLine adds a horizontal line. One that is close to the axis gets no label.
func (c *chart) addLine(value, top float64, label, class string) {
	if y := c.y(value, top); value > 0 && c.Base-y < labelHeight {
		label = ""
	}
	c.Lines = append(c.Lines, chartLine{Y: coordinate(c.y(value, top)), Label: label, Class: class})
}

// addPlot places the points by their time.
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
